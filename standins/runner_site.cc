#include "standins/runner_site.h"

#include <nlohmann/json.hpp>
#include <utility>

#include "kernel/base/digest.h"
#include "kernel/base/http_status.h"

namespace eelgrass {
namespace {

using json = nlohmann::json;

constexpr millis kBeatInterval{500};
constexpr millis kBeatTimeout{1000};
constexpr int kIdBytes = 5;

}  // namespace

void AnswerJson(http_front& server, uint64_t id, int status, std::string body) {
  http_response response;
  response.status = status;
  response.headers.push_back({"Content-Type", "application/json"});
  response.body.data = std::move(body);
  server.Respond(id, std::move(response));
}

runner_site::runner_site(fleet_runner_place place, std::string service, const clock& time,
                         standin_gangs& gangs, runner_observer observe)
    : place_(std::move(place)),
      service_(std::move(service)),
      clock_(time),
      gangs_(gangs),
      observe_(std::move(observe)) {}

result<void> runner_site::Start(http_handler& handler) {
  front_options options;
  options.listen = place_.listen;
  front_ = BOOST_OUTCOME_TRYX(front_registry::Instance().Create("restinio", options));
  Revive();
  return front_->Start(handler);
}

void runner_site::Stop() {
  if (front_) front_->Stop();
}

void runner_site::Crash() {
  if (!up_) return;
  runner_->Die(clock_.Now());
  up_ = false;
}

void runner_site::Revive() {
  if (up_) return;
  runner_options options;
  options.time_percent = place_.time_percent;
  runner_ = std::make_unique<standin_runner>(
      worker_identity{"i-" + RandomHex(kIdBytes), clock_.WallNow().count()}, options, gangs_,
      observe_, clock_.Now());
  sequence_ = 0;
  up_ = true;
}

void runner_site::Handle(http_request request) {
  if (!up_) return;  // nobody answers
  standin_runner& runner = *runner_;
  const millis now = clock_.Now();
  http_front& server = *front_;
  const json body = json::parse(request.body.data, nullptr, false);
  if (!body.is_object()) return AnswerJson(server, request.id, http_status::kBadRequest, "{}");
  const std::string_view expected = request.Header("X-Eelgrasshaven-Expect-Instance");
  if (!expected.empty() && expected != runner.self().id) {
    return AnswerJson(server, request.id, http_status::kMisdirectedRequest, "{}");
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
      return AnswerJson(server, request.id, http_status::kOk, answer.dump());
    }
    answer["Reason"] = StartRefusalName(refusal);
    return AnswerJson(server, request.id, http_status::kConflict, answer.dump());
  }
  if (request.path() == "/run-stop") {
    stop_call call;
    call.fence = fence;
    call.run = {body.value("Task", ""), body.value("Run", int64_t{0})};
    const bool done = runner.Stop(call, now) == call_outcome::kDone;
    return AnswerJson(server, request.id, done ? http_status::kOk : http_status::kConflict,
                      answer.dump());
  }
  if (request.path() != "/hold") {
    return AnswerJson(server, request.id, http_status::kBadRequest, "{}");
  }
  hold_call call;
  call.fence = fence;
  call.seen_upto = body.value("SeenUpto", int64_t{0});
  call.deadline_ms = body.value("DeadlineMs", int64_t{0});
  if (fence < runner.fence()) {
    answer["Reason"] = "fence";
    return AnswerJson(server, request.id, http_status::kConflict, answer.dump());
  }
  runner.Hold(call, now);
  waiting_hold entry{std::move(request), now + millis(body.value("WaitMs", int64_t{0})),
                     runner.self().id};
  if (!TryHold(entry, entry.until <= now)) holds_.push_back(std::move(entry));
}

bool runner_site::TryHold(const waiting_hold& wait, bool last) {
  const standin_runner& runner = *runner_;
  // A hold that waited when its runner crashed is never answered.
  if (!up_ || wait.life != runner.self().id) return true;
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
  AnswerJson(*front_, wait.request.id, http_status::kOk, answer.dump());
  return true;
}

void runner_site::Advance(http_client& client) {
  if (!up_) return;
  const millis now = clock_.Now();
  runner_->Advance(now);
  if (now >= next_beat_) Beat(client);
}

void runner_site::AnswerHolds() {
  const millis now = clock_.Now();
  std::erase_if(holds_, [&](const auto& wait) { return TryHold(wait, now >= wait.until); });
}

void runner_site::Beat(http_client& client) {
  const standin_runner& runner = *runner_;
  const millis now = clock_.Now();
  next_beat_ = now + kBeatInterval;
  const amounts& room = runner.options().capacity;
  http_call call;
  call.method = "PUT";
  call.url = "http://" + place_.agent + "/instances/" + runner.self().id;
  call.headers.push_back({"Content-Type", "application/json"});
  call.body.data =
      json{{"Service", service_},
           {"Addr", place_.advertised.empty() ? place_.listen : place_.advertised},
           {"Zone", place_.zone},
           {"State", "ready"},
           {"Seq", ++sequence_},
           {"born", runner.self().born_ms},
           {"ClockMs", runner.ClockAt(now)},
           {"Labels", {"a", "r1-1"}},
           {"Capacity",
            {{"Cpu", room.cpu_milli}, {"MemMb", room.memory_mb}, {"Gpu", room.accelerators}}}}
          .dump();
  call.timeout = kBeatTimeout;
  // A beat that finds no agent is followed by the next one.
  client.Start(std::move(call), [](const result<http_response>&) {});
}

}  // namespace eelgrass
