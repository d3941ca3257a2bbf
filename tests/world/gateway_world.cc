#include "tests/world/gateway_world.h"

#include <nlohmann/json.hpp>
#include <utility>
#include <variant>

#include "kernel/batch/term_election.h"
#include "tests/world/batch_world.h"

namespace eelgrass {
namespace {

constexpr millis kTick{50};
constexpr millis kStoreTime{8};
constexpr millis kFeedLook{2};
constexpr millis kCallerWait{3000};
constexpr std::string_view kNode = "entry-0";
constexpr std::string_view kJob = "5c0e7a21d94b36f8";

gateway_options OptionsOf(millis config_bound) {
  gateway_options options;
  options.node = kNode;
  options.peer_address = "10.0.0.1:7000";
  options.config_bound = config_bound;
  return options;
}

}  // namespace

gateway_world::gateway_world(millis config_bound)
    : source_(std::move(operator_source_registry::Instance().Create("platform").value())),
      codec_(std::move(record_codec_registry::Instance().Create("json").value())),
      gateway_(OptionsOf(config_bound), *source_, *codec_) {
  row_transaction term;
  term.writes.push_back({EpochRow(), std::string(kNode)});
  planner_notice notice;
  notice.term = term_ = rows_.Apply(term).revision;
  notice.planner = kNode;
  Decide({own_planner_reply{notice}});
  Tick();
}

void gateway_world::Configure(std::span<const std::string_view> queues, std::string_view key) {
  nlohmann::json routes = nlohmann::json::array();
  for (const auto& queue : queues) {
    const std::string name(queue);
    routes.push_back({{"Name", name}, {"Host", "site"}, {"PathPrefix", "/" + name + "/"}});
  }
  const nlohmann::json owner = {{"Name", "shops"}, {"ApiKeys", {key}}};
  const nlohmann::json body = {
      {"Version", ++version_}, {"Routes", routes}, {"Tenants", nlohmann::json::array({owner})}};
  Write(body.dump());
}

void gateway_world::ConfigureUnreadably() { Write("{\"Version\":\"newest\"}"); }

void gateway_world::Write(std::string value) {
  row_transaction change;
  change.writes.push_back({source_->config_row(), std::move(value)});
  rows_.Apply(change);
}

void gateway_world::RunUntilOperatorCall() {
  const int before = operator_calls_;
  while (operator_calls_ == before) RunFor(millis(1));
  RunFor(kStoreTime / 2 + millis(1));
}

uint64_t gateway_world::AskWaiting(std::string_view queue, std::string_view key) {
  caller_call call;
  call.kind = call_kind::kState;
  call.path = "/" + std::string(queue) + "/";
  call.key = key;
  return Call(std::move(call));
}

uint64_t gateway_world::Submit(std::string_view queue, std::string_view key) {
  caller_call call;
  call.kind = call_kind::kSubmit;
  call.path = "/" + std::string(queue) + "/" + std::string(kJob);
  call.key = key;
  call.job = MakeBatchJob(kJob, queue, 1, millis(1000), 1);
  return Call(std::move(call));
}

void gateway_world::Publish(load_forecast forecast) {
  forecast.term = term_;
  forecast.created_ms = events_.now().count();
  Decide({own_planner_reply{std::move(forecast)}});
}

uint64_t gateway_world::Call(caller_call call) {
  call.id = ++last_call_;
  call.host = "site";
  call.wait = kCallerWait;
  const uint64_t id = call.id;
  Decide({std::move(call)});
  return id;
}

std::optional<caller_reply> gateway_world::answer(uint64_t call) const {
  const auto found = answers_.find(call);
  if (found == answers_.end()) return std::nullopt;
  return found->second;
}

bool gateway_world::Answered(uint64_t call, call_answer answer) const {
  const auto found = answers_.find(call);
  return found != answers_.end() && found->second.answer == answer;
}

void gateway_world::Tick() {
  Decide({});
  events_.After(kTick, [this] { Tick(); });
}

void gateway_world::Decide(std::vector<gateway_event> events) {
  std::vector<gateway_action> actions;
  gateway_.Decide(events, events_.now(), actions);
  for (auto& action : actions) CarryOut(action);
}

void gateway_world::CarryOut(gateway_action& action) {
  if (const auto* reply = std::get_if<caller_reply>(&action)) {
    answers_.insert_or_assign(reply->id, *reply);
  } else if (const auto* request = std::get_if<store_request>(&action)) {
    Serve(*request);
  } else if (const auto* own = std::get_if<own_planner_request>(&action)) {
    const auto* inquiry = std::get_if<job_inquiry>(&own->message);
    if (inquiry == nullptr) return;
    ++inquiries_;
    job_reply reply{inquiry->id};
    reply.outcome = inquiry_outcome::kKnown;
    events_.After(millis(0), [this, reply] { Decide({own_planner_reply{reply}}); });
  }
}

void gateway_world::Serve(const store_request& request) {
  const auto* feed = std::get_if<row_feed>(&request.call);
  const auto* range = std::get_if<row_range>(&request.call);
  const bool for_operators = (feed != nullptr && feed->table == source_->table()) ||
                             (range != nullptr && range->table == source_->table());
  if (for_operators) ++operator_calls_;
  if (service_ == store_service::kRefuses) return Fail(request, row_outcome::kNotDone, kStoreTime);
  const bool write = feed == nullptr && range == nullptr;
  const bool only_reads = service_ == store_service::kOnlyReads;
  if (service_ == store_service::kSilent || (write && only_reads)) {
    return Fail(request, row_outcome::kUnknown, request.timeout);
  }
  if (feed != nullptr) {
    events_.After(
        kStoreTime / 2, [this, token = request.token, timeout = request.timeout, call = *feed] {
          const bool no_feed_answers =
              service_ == store_service::kNoFeedAnswers || service_ == store_service::kOnlyReads;
          if (no_feed_answers && call.wait > millis(0)) {
            return Fail({token, call, timeout}, row_outcome::kUnknown, timeout - kStoreTime / 2);
          }
          Follow(token, call, events_.now() + call.wait);
        });
  } else if (range != nullptr) {
    Deliver({request.token, rows_.Read(*range)}, kStoreTime);
  } else {
    Deliver({request.token, rows_.Apply(std::get<row_transaction>(request.call))}, kStoreTime);
  }
}

void gateway_world::Follow(int64_t token, const row_feed& feed, millis until) {
  const rows_result answer = rows_.Changes(feed.table, feed.after);
  const bool over = events_.now() >= until;
  const bool changed = answer.outcome != row_outcome::kDone || !answer.rows.empty();
  if (over || (changed && service_ != store_service::kDeafFeed)) {
    return Deliver({token, answer}, kStoreTime / 2);
  }
  events_.After(kFeedLook, [this, token, feed, until] { Follow(token, feed, until); });
}

void gateway_world::Fail(const store_request& request, row_outcome outcome, millis delay) {
  if (std::holds_alternative<row_transaction>(request.call)) {
    transaction_result answer;
    answer.outcome = outcome;
    return Deliver({request.token, answer}, delay);
  }
  rows_result answer;
  answer.outcome = outcome;
  Deliver({request.token, answer}, delay);
}

void gateway_world::Deliver(store_reply reply, millis delay) {
  events_.After(delay, [this, reply = std::move(reply)] { Decide({reply}); });
}

}  // namespace eelgrass
