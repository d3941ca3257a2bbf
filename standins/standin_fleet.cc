#include "standins/standin_fleet.h"

#include <chrono>
#include <nlohmann/json.hpp>

#include "kernel/base/base64.h"
#include "kernel/base/digest.h"
#include "kernel/base/http_status.h"

namespace eelgrass {
namespace {

using json = nlohmann::json;

constexpr millis kTick{10};
constexpr millis kBeatInterval{500};
constexpr millis kBeatTimeout{1000};
constexpr int kIdBytes = 5;

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

std::string_view RefusalWord(start_refusal reason) { return StartRefusalName(reason); }

}  // namespace

/** One runner with its server. */
struct standin_fleet::runner_site {
  fleet_runner_place place;
  std::unique_ptr<http_front> front;
  std::unique_ptr<runner_handler> handler;
  std::unique_ptr<standin_runner> runner;  // the latest life
  bool up = false;                         // the VM
  int64_t sequence = 0;
  millis next_beat{0};
};

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
  runner_handler(standin_fleet& fleet, int index) : fleet_(fleet), index_(index) {}
  void Handle(http_request request) override { fleet_.OnRunner(index_, std::move(request)); }

 private:
  standin_fleet& fleet_;
  const int index_;
};

standin_fleet::standin_fleet(std::string store, std::vector<fleet_runner_place> runners,
                             std::string service, const clock& time)
    : store_(std::move(store)), service_(std::move(service)), clock_(time) {
  for (auto& place : runners) {
    auto site = std::make_unique<runner_site>();
    site->place = std::move(place);
    sites_.push_back(std::move(site));
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
    runner_site& site = *sites_[i];
    options.listen = site.place.listen;
    site.front = BOOST_OUTCOME_TRYX(front_registry::Instance().Create("restinio", options));
    site.handler = std::make_unique<runner_handler>(*this, static_cast<int>(i));
    Revive(site);
    BOOST_OUTCOME_TRY(site.front->Start(*site.handler));
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
  for (auto& site : sites_) {
    if (site->front) site->front->Stop();
  }
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

void standin_fleet::Answer(http_front& server, uint64_t id, int status, std::string body) {
  http_response response;
  response.status = status;
  response.headers.push_back({"Content-Type", "application/json"});
  response.body.data = std::move(body);
  server.Respond(id, std::move(response));
}

void standin_fleet::OnStore(http_front& server, http_request request) {
  std::lock_guard lock(mutex_);
  const millis now = clock_.Now();
  if (OnTest(server, request)) return;
  if (request.path() == "/machines") return Answer(server, request.id, http_status::kOk, VmList());
  if (fault_ == "refuse") return Answer(server, request.id, http_status::kServiceUnavailable, "{}");
  if (fault_ == "silent") return;  // the caller's own time-out ends it
  if (request.path() == "/rows-tx") return OnTransaction(server, request);
  if (request.path() == "/rows-get") {
    const rows_result found =
        rows_.Read({std::string(request.Parameter("Table")), std::string(request.Parameter("part")),
                    std::string(request.Parameter("From"))});
    return Answer(server, request.id, http_status::kOk,
                  RowsBody(found.rows, found.revision, found.more, now).dump());
  }
  if (request.path() != "/rows-feed") {
    return Answer(server, request.id, http_status::kBadRequest, "{}");
  }
  const millis wait(std::atoll(std::string(request.Parameter("WaitMs")).c_str()));
  waiting entry{&server, std::move(request), now + wait, -1, ""};
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
      if (!site.up) Revive(site);
    } else if (site.up) {
      site.runner->Die(clock_.Now());
      site.up = false;
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
  Answer(server, request.id, http_status::kOk, answer.dump());
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
                    {"State", site.up ? "up" : "down"},
                    {"Id", site.up ? json(site.runner->self().id) : json()}});
  }
  return json{{"Machines", list}, {"NextToken", nullptr}}.dump();
}

void standin_fleet::Revive(runner_site& site) {
  site.runner = std::make_unique<standin_runner>(
      worker_identity{"i-" + RandomHex(kIdBytes), clock_.WallNow().count()}, runner_options{},
      gangs_, [this](const runner_event& event) { check_.OnRunner(event); }, clock_.Now());
  site.sequence = 0;
  site.up = true;
}

void standin_fleet::OnTransaction(http_front& server, const http_request& request) {
  const millis now = clock_.Now();
  const json body = json::parse(request.body.data, nullptr, false);
  if (!body.is_object()) return Answer(server, request.id, http_status::kBadRequest, "{}");
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
  const int status =
      done.outcome == row_outcome::kDone ? http_status::kOk : http_status::kPreconditionFailed;
  Answer(server, request.id, status, RowsBody(done.current, done.revision, false, now).dump());
}

bool standin_fleet::TryFeed(waiting& wait, bool last) {
  const int64_t after = std::atoll(std::string(wait.request.Parameter("After")).c_str());
  const rows_result found = rows_.Changes(wait.request.Parameter("Table"), after);
  if (found.outcome == row_outcome::kHistoryGone) {
    Answer(*wait.server, wait.request.id, http_status::kGone, "{}");
    return true;
  }
  if (found.rows.empty() && !last) return false;
  Answer(*wait.server, wait.request.id, http_status::kOk,
         RowsBody(found.rows, found.revision, false, clock_.Now()).dump());
  return true;
}

void standin_fleet::OnRunner(int index, http_request request) {
  std::lock_guard lock(mutex_);
  runner_site& site = *sites_[static_cast<size_t>(index)];
  if (!site.up) return;  // nobody answers
  standin_runner& runner = *site.runner;
  const millis now = clock_.Now();
  http_front& server = *site.front;
  const json body = json::parse(request.body.data, nullptr, false);
  if (!body.is_object()) return Answer(server, request.id, http_status::kBadRequest, "{}");
  const std::string_view expected = request.Header("X-Eelgrasshaven-Expect-Instance");
  if (!expected.empty() && expected != runner.self().id) {
    return Answer(server, request.id, http_status::kMisdirectedRequest, "{}");
  }
  const int64_t fence = body.value("Fence", int64_t{0});
  json answer{{"ClockMs", runner.ClockAt(now)}, {"born", runner.self().born_ms}};
  if (request.path() == "/run-start") {
    start_call call;
    call.fence = fence;
    call.deadline_ms = body.value("DeadlineMs", int64_t{0});
    call.run = {body.value("Task", ""), body.value("Run", int64_t{0}), body.value("Spec", ""),
                body.value("Saved", "")};
    start_refusal refusal = start_refusal::kRoom;
    if (runner.Start(call, now, refusal) == call_outcome::kDone) {
      return Answer(server, request.id, http_status::kOk, answer.dump());
    }
    answer["Reason"] = RefusalWord(refusal);
    return Answer(server, request.id, http_status::kConflict, answer.dump());
  }
  if (request.path() == "/run-stop") {
    stop_call call;
    call.fence = fence;
    call.run = {body.value("Task", ""), body.value("Run", int64_t{0})};
    const bool done = runner.Stop(call, now) == call_outcome::kDone;
    return Answer(server, request.id, done ? http_status::kOk : http_status::kConflict,
                  answer.dump());
  }
  if (request.path() != "/hold") return Answer(server, request.id, http_status::kBadRequest, "{}");
  hold_call call;
  call.fence = fence;
  call.seen_upto = body.value("SeenUpto", int64_t{0});
  call.deadline_ms = body.value("DeadlineMs", int64_t{0});
  if (fence < runner.fence()) {
    answer["Reason"] = "fence";
    return Answer(server, request.id, http_status::kConflict, answer.dump());
  }
  runner.Hold(call, now);
  waiting entry{&server, std::move(request), now + millis(body.value("WaitMs", int64_t{0})), index,
                runner.self().id};
  if (!TryHold(entry, entry.until <= now)) waiting_.push_back(std::move(entry));
}

bool standin_fleet::TryHold(waiting& wait, bool last) {
  const runner_site& site = *sites_[static_cast<size_t>(wait.runner)];
  const standin_runner& runner = *site.runner;
  // A hold that waited when its runner crashed is never answered.
  if (!site.up || wait.life != runner.self().id) return true;
  const json body = json::parse(wait.request.body.data, nullptr, false);
  if (!last && !runner.HasEndAfter(body.value("SeenUpto", int64_t{0}))) return false;
  hold_answer lists;
  runner.Lists(clock_.Now(), lists);
  json running = json::array();
  for (const auto& run : lists.running) {
    running.push_back(json::array({run.task, run.run, run.saved, run.percent}));
  }
  json ended = json::array();
  for (const auto& end : lists.ended) {
    ended.push_back(json::array({end.number, end.task, end.run, RunEndName(end.how), end.saved}));
  }
  const json answer{
      {"ClockMs", lists.clock_ms}, {"born", lists.born_ms}, {"Running", running}, {"Ended", ended}};
  Answer(*wait.server, wait.request.id, http_status::kOk, answer.dump());
  return true;
}

void standin_fleet::Tick() {
  std::lock_guard lock(mutex_);
  const millis now = clock_.Now();
  for (const auto& [at, change] : late_) {
    if (now >= at) rows_.Apply(change);
  }
  std::erase_if(late_, [now](const auto& entry) { return now >= entry.first; });
  for (auto& site : sites_) {
    if (!site->up) continue;
    site->runner->Advance(now);
    if (now >= site->next_beat) Beat(*site);
  }
  std::erase_if(waiting_, [&](waiting& wait) {
    const bool last = now >= wait.until;
    return wait.runner < 0 ? TryFeed(wait, last) : TryHold(wait, last);
  });
}

void standin_fleet::Beat(runner_site& site) {
  const standin_runner& runner = *site.runner;
  const millis now = clock_.Now();
  site.next_beat = now + kBeatInterval;
  const amounts& room = runner.options().capacity;
  http_call call;
  call.method = "PUT";
  call.url = "http://" + site.place.agent + "/instances/" + runner.self().id;
  call.headers.push_back({"Content-Type", "application/json"});
  call.body.data =
      json{{"Service", service_},
           {"Addr", site.place.advertised.empty() ? site.place.listen : site.place.advertised},
           {"Zone", site.place.zone},
           {"State", "ready"},
           {"Seq", ++site.sequence},
           {"born", runner.self().born_ms},
           {"ClockMs", runner.ClockAt(now)},
           {"Labels", {"a", "r1-1"}},
           {"Capacity",
            {{"Cpu", room.cpu_milli}, {"MemMb", room.memory_mb}, {"Gpu", room.accelerators}}}}
          .dump();
  call.timeout = kBeatTimeout;
  // A beat that finds no agent is followed by the next one.
  client_->Start(std::move(call), [](const result<http_response>&) {});
}

}  // namespace eelgrass
