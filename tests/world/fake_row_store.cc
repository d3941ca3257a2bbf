#include "tests/world/fake_row_store.h"

#include <utility>
#include <variant>

namespace eelgrass {
namespace {

constexpr millis kStoreTime{8};
constexpr millis kFeedLook{10};
constexpr millis kShortestDelay{1000};
constexpr millis kLongestDelay{6000};
constexpr double kFaultShare = 0.4;  // of the writes

}  // namespace

fake_row_store::fake_row_store(timeline& events, draws& random, store_callers& callers)
    : events_(events), random_(random), callers_(callers) {}

store_fault fake_row_store::FaultFor(const store_caller& caller) const {
  if (callers_.Refused(caller)) return store_fault::kRefuses;
  if (!callers_.Reaches(caller)) return store_fault::kSilent;
  const auto own = process_faults_.find(caller.process);
  if (own != process_faults_.end() && own->second != store_fault::kNone) return own->second;
  return fault_;
}

void fake_row_store::Call(const store_caller& caller, const store_request& request) {
  ++calls_;
  const store_fault fault = FaultFor(caller);
  if (fault == store_fault::kRefuses) {
    return Fail(caller, request, row_outcome::kNotDone, kStoreTime);
  }
  if (fault == store_fault::kSilent) {
    return Fail(caller, request, row_outcome::kUnknown, request.timeout);
  }
  if (std::holds_alternative<row_transaction>(request.call)) return Write(caller, request, fault);
  if (const auto* range = std::get_if<row_range>(&request.call)) {
    return Answer(caller, {request.token, rows_.Read(*range)}, kStoreTime);
  }
  FollowFeed(caller, request, events_.now() + std::get<row_feed>(request.call).wait);
}

void fake_row_store::Write(const store_caller& caller, const store_request& request,
                           store_fault fault) {
  const auto& change = std::get<row_transaction>(request.call);
  const bool lost = fault == store_fault::kLosesAnswers && random_.Chance(kFaultShare);
  const bool late = fault == store_fault::kLateWrites && random_.Chance(kFaultShare);
  if (late) {
    events_.After(random_.Between(kShortestDelay, kLongestDelay),
                  [this, change] { rows_.Apply(change); });
    return Fail(caller, request, row_outcome::kUnknown, request.timeout);
  }
  events_.After(kStoreTime / 2,
                [this, caller, change, lost, token = request.token, timeout = request.timeout] {
                  transaction_result answer = rows_.Apply(change);
                  if (lost) {
                    answer = {};
                    answer.outcome = row_outcome::kUnknown;
                  }
                  Answer(caller, {token, answer}, lost ? timeout : kStoreTime / 2);
                });
}

void fake_row_store::FollowFeed(const store_caller& caller, const store_request& request,
                                millis until) {
  if (!callers_.Lives(caller)) return;
  const auto& feed = std::get<row_feed>(request.call);
  const bool unreachable = !callers_.Reaches(caller) || fault_ == store_fault::kSilent ||
                           fault_ == store_fault::kRefuses;
  if (unreachable) return Fail(caller, request, row_outcome::kUnknown, request.timeout);
  const rows_result answer = rows_.Changes(feed.table, feed.after);
  if (answer.outcome != row_outcome::kDone || !answer.rows.empty() || events_.now() >= until) {
    return Answer(caller, {request.token, answer}, kStoreTime / 2 + feed_delay_);
  }
  events_.After(kFeedLook, [this, caller, request, until] { FollowFeed(caller, request, until); });
}

void fake_row_store::Fail(const store_caller& caller, const store_request& request,
                          row_outcome outcome, millis delay) {
  store_reply reply{request.token, {}};
  if (std::holds_alternative<row_transaction>(request.call)) {
    transaction_result answer;
    answer.outcome = outcome;
    reply.answer = answer;
  } else {
    rows_result answer;
    answer.outcome = outcome;
    reply.answer = answer;
  }
  Answer(caller, std::move(reply), delay);
}

void fake_row_store::Answer(const store_caller& caller, store_reply reply, millis delay) {
  std::visit(
      [this](auto& answer) {
        const bool answered =
            answer.outcome == row_outcome::kDone || answer.outcome == row_outcome::kConflict;
        if (answered) answer.store_now = events_.now() + kStoreClockAhead;
      },
      reply.answer);
  callers_.Answer(caller, std::move(reply), delay);
}

}  // namespace eelgrass
