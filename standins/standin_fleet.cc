#include "standins/standin_fleet.h"

#include <chrono>
#include <nlohmann/json.hpp>

#include "kernel/base/base64.h"
#include "kernel/base/http_status.h"

namespace eelgrass {
namespace {

using json = nlohmann::json;

constexpr millis kTick{10};

/** A write that is late is done this much later, by the platform's description of the fault. */
constexpr millis kShortestDelay{1000};
constexpr uint64_t kDelaySpreadMs = 3000;

row_key KeyOf(const json& entry) {
  return {entry.value("Table", ""), entry.value("part", ""), entry.value("Key", "")};
}

json RowsBody(const std::vector<row>& rows, int64_t revision, bool more, millis now) {
  json list = json::array();
  for (const auto& found : rows) {
    json entry{{"Table", found.at.table},
               {"part", found.at.part},
               {"Key", found.at.key},
               {"Value", ToBase64(found.value)},
               {"Ver", found.revision}};
    if (found.deleted) entry["Deleted"] = true;
    list.push_back(std::move(entry));
  }
  return {{"rows", list}, {"Ver", revision}, {"HasMore", more}, {"NowMs", now.count()}};
}

row_transaction ReadTransaction(const json& body) {
  row_transaction change;
  for (const auto& entry : body.value("ExpectRev", json::array())) {
    change.conditions.push_back({KeyOf(entry), entry.value("Ver", int64_t{0})});
  }
  for (const auto& entry : body.value("Writes", json::array())) {
    change.writes.push_back({KeyOf(entry), FromBase64(entry.value("Value", "")).value_or("")});
  }
  for (const auto& entry : body.value("Remove", json::array())) {
    change.removals.push_back(KeyOf(entry));
  }
  return change;
}

}  // namespace

class standin_fleet::store_handler : public http_handler {
 public:
  explicit store_handler(standin_fleet& fleet) : fleet_(fleet) {}
  void Handle(http_request request) override {
    fleet_.OnStore(*fleet_.store_front_, std::move(request));
  }

 private:
  standin_fleet& fleet_;
};

class standin_fleet::runner_handler : public http_handler {
 public:
  runner_handler(standin_fleet& fleet, runner_site& site) : fleet_(fleet), site_(site) {}
  void Handle(http_request request) override {
    std::lock_guard lock(fleet_.mutex_);
    site_.Handle(std::move(request));
  }

 private:
  standin_fleet& fleet_;
  runner_site& site_;
};

standin_fleet::standin_fleet(std::string store, std::vector<fleet_runner_place> runners,
                             std::string_view service, const clock& time)
    : store_(std::move(store)), clock_(time) {
  for (auto& place : runners) {
    sites_.push_back(std::make_unique<runner_site>(
        std::move(place), std::string(service), clock_, gangs_,
        [this](const runner_event& event) { check_.OnRunner(event); }));
    runner_handlers_.push_back(std::make_unique<runner_handler>(*this, *sites_.back()));
  }
}

standin_fleet::~standin_fleet() { Stop(); }

result<void> standin_fleet::Start() {
  client_ = BOOST_OUTCOME_TRYX(client_registry::Instance().Create("curl", client_options{}));
  front_options options;
  options.listen = store_;
  store_front_ = BOOST_OUTCOME_TRYX(front_registry::Instance().Create("restinio", options));
  store_handler_ = std::make_unique<store_handler>(*this);
  BOOST_OUTCOME_TRY(store_front_->Start(*store_handler_));
  for (size_t i = 0; i < sites_.size(); ++i) {
    BOOST_OUTCOME_TRY(sites_[i]->Start(*runner_handlers_[i]));
  }
  ticker_ = std::thread([this] {
    while (!stopping_) {
      Tick();
      std::this_thread::sleep_for(std::chrono::milliseconds(kTick.count()));
    }
  });
  return Ok();
}

void standin_fleet::Stop() {
  stopping_ = true;
  if (ticker_.joinable()) ticker_.join();
  if (store_front_) store_front_->Stop();
  for (auto& site : sites_) site->Stop();
  if (client_) client_->Stop();
}

std::vector<std::string> standin_fleet::broken() {
  std::lock_guard lock(mutex_);
  return check_.broken();
}

int standin_fleet::starts() {
  std::lock_guard lock(mutex_);
  return check_.starts();
}

void standin_fleet::OnStore(http_front& server, http_request request) {
  std::lock_guard lock(mutex_);
  const millis now = clock_.Now();
  if (OnTest(server, request)) return;
  if (request.path() == "/machines") {
    return AnswerJson(server, request.id, http_status::kOk, VmList());
  }
  if (fault_ == "refuse") {
    return AnswerJson(server, request.id, http_status::kServiceUnavailable, "{}");
  }
  if (fault_ == "silent") return;  // the caller's own time-out ends it
  if (request.path() == "/rows-tx") return OnTransaction(server, request);
  if (request.path() == "/rows-get") {
    const rows_result found =
        rows_.Read({std::string(request.Parameter("Table")), std::string(request.Parameter("part")),
                    std::string(request.Parameter("From"))});
    return AnswerJson(server, request.id, http_status::kOk,
                      RowsBody(found.rows, found.revision, found.more, now).dump());
  }
  if (request.path() != "/rows-feed") {
    return AnswerJson(server, request.id, http_status::kBadRequest, "{}");
  }
  const millis wait(std::atoll(std::string(request.Parameter("WaitMs")).c_str()));
  waiting entry{&server, std::move(request), now + wait};
  if (!TryFeed(entry, false)) waiting_.push_back(std::move(entry));
}

/** What tests ask of the stand-in; false for the platform's own calls. */
bool standin_fleet::OnTest(http_front& server, const http_request& request) {
  const std::string_view path = request.path();
  json answer = json::object();
  if (path == "/standin/store") {
    fault_ = request.Parameter("fault");
    if (fault_ == "forget") rows_.ForgetHistory();
  } else if (path == "/standin/crash" || path == "/standin/revive") {
    const auto index =
        static_cast<size_t>(std::atoll(std::string(request.Parameter("runner")).c_str()));
    if (index >= sites_.size()) return false;
    runner_site& site = *sites_[index];
    if (path == "/standin/revive") {
      site.Revive();
    } else {
      site.Crash();
    }
  } else if (path == "/standin/submitted") {
    const json body = json::parse(request.body.data, nullptr, false);
    callers_report_ = true;
    batch_job asked;
    asked.id = body.value("job", "");
    asked.spec = body.value("spec", "");
    check_.OnSubmitted(asked);
  } else if (path == "/standin/answer") {
    TakeCallerAnswer(request.body.data);
  } else if (path == "/standin/broken") {
    if (!request.Parameter("finish").empty()) check_.Finish();
    answer["broken"] = check_.broken();
  } else {
    return false;
  }
  AnswerJson(server, request.id, http_status::kOk, answer.dump());
  return true;
}

void standin_fleet::TakeCallerAnswer(std::string_view text) {
  const json body = json::parse(text.begin(), text.end(), nullptr, false);
  if (!body.is_object()) return;
  const std::string kind = body.value("kind", "");
  const int status = body.value("status", 0);
  const bool good = status >= http_status::kOk && status < http_status::kOk + 100;
  const bool refused =
      status == http_status::kTooManyRequests || status == http_status::kServiceUnavailable;
  caller_reply reply;
  if (kind == "submit") {
    reply.answer = good      ? call_answer::kAccepted
                   : refused ? call_answer::kUnavailable
                             : call_answer::kOutcomeUnknown;
    check_.OnAnswer(body.value("job", ""), call_kind::kSubmit, reply, clock_.Now());
  } else if (kind == "cancel" && (good || status == http_status::kGone)) {
    reply.answer = call_answer::kCancelled;
    check_.OnAnswer(body.value("job", ""), call_kind::kCancel, reply, clock_.Now());
  } else if (kind == "state" && status == http_status::kGone) {
    reply.answer = call_answer::kNoSuchJob;
    check_.OnAnswer(body.value("job", ""), call_kind::kState, reply, clock_.Now());
  } else if (kind == "state" && good) {
    const std::string state = body.value("state", "");
    reply.answer = call_answer::kState;
    reply.state = state == "completed"  ? batch_state::kCompleted
                  : state == "failed"   ? batch_state::kFailed
                  : state == "canceled" ? batch_state::kCancelled
                                        : batch_state::kRunning;
    check_.OnAnswer(body.value("job", ""), call_kind::kState, reply, clock_.Now());
  }
}

/** All VMs, as the platform lists them. */
std::string standin_fleet::VmList() const {
  json list = json::array();
  for (size_t i = 0; i < sites_.size(); ++i) {
    const runner_site& site = *sites_[i];
    list.push_back({{"Machine", "m-" + std::to_string(i)},
                    {"State", site.up() ? "up" : "down"},
                    {"Id", site.up() ? json(site.id()) : json()}});
  }
  return json{{"Machines", list}, {"NextToken", nullptr}}.dump();
}

void standin_fleet::OnTransaction(http_front& server, const http_request& request) {
  const millis now = clock_.Now();
  const json body = json::parse(request.body.data, nullptr, false);
  if (!body.is_object()) return AnswerJson(server, request.id, http_status::kBadRequest, "{}");
  const row_transaction change = ReadTransaction(body);
  if (fault_ == "late") {
    const millis delay(static_cast<int64_t>(random_() % kDelaySpreadMs));
    late_.emplace_back(now + kShortestDelay + delay, change);
    return;
  }
  const transaction_result done = rows_.Apply(change);
  for (const auto& write : change.writes) {
    // Without callers' reports the check learns of jobs from the store: what was stored may run.
    if (callers_report_ || done.outcome != row_outcome::kDone || write.at.table != "jobs") continue;
    const json job = json::parse(write.value, nullptr, false);
    batch_job asked;
    asked.id = write.at.key;
    asked.spec = job.value("spec", "");
    check_.OnSubmitted(asked);
    check_.OnAnswer(asked.id, call_kind::kSubmit, {0, call_answer::kAccepted}, now);
  }
  if (fault_ == "lose") return;
  if (done.outcome == row_outcome::kNotDone) {
    return AnswerJson(server, request.id, http_status::kBadRequest, "{}");
  }
  const int status =
      done.outcome == row_outcome::kDone ? http_status::kOk : http_status::kPreconditionFailed;
  AnswerJson(server, request.id, status, RowsBody(done.current, done.revision, false, now).dump());
}

bool standin_fleet::TryFeed(const waiting& wait, bool last) {
  const int64_t after = std::atoll(std::string(wait.request.Parameter("After")).c_str());
  const rows_result found = rows_.Changes(wait.request.Parameter("Table"), after);
  if (found.outcome == row_outcome::kHistoryGone) {
    AnswerJson(*wait.server, wait.request.id, http_status::kGone, "{}");
    return true;
  }
  if (found.rows.empty() && !last) return false;
  AnswerJson(*wait.server, wait.request.id, http_status::kOk,
             RowsBody(found.rows, found.revision, false, clock_.Now()).dump());
  return true;
}

void standin_fleet::Tick() {
  std::lock_guard lock(mutex_);
  const millis now = clock_.Now();
  for (const auto& [at, change] : late_) {
    if (now >= at) rows_.Apply(change);
  }
  std::erase_if(late_, [now](const auto& entry) { return now >= entry.first; });
  for (auto& site : sites_) site->Advance(*client_);
  std::erase_if(waiting_, [&](const auto& wait) { return TryFeed(wait, now >= wait.until); });
  for (auto& site : sites_) site->AnswerHolds();
}

}  // namespace eelgrass
