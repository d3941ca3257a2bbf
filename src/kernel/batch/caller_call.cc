#include "kernel/batch/caller_call.h"

namespace eelgrass {

std::string_view CallAnswerName(call_answer answer) {
  switch (answer) {
    case call_answer::kAccepted:
      return "accepted";
    case call_answer::kState:
      return "state";
    case call_answer::kWaiting:
      return "waiting";
    case call_answer::kCancelled:
      return "cancelled";
    case call_answer::kNoSuchJob:
      return "no-such-job";
    case call_answer::kNoSuchQueue:
      return "no-such-queue";
    case call_answer::kNoSuchKey:
      return "no-such-key";
    case call_answer::kMalformed:
      return "malformed";
    case call_answer::kTooLarge:
      return "too-large";
    case call_answer::kBusy:
      return "busy";
    case call_answer::kUnavailable:
      return "unavailable";
    case call_answer::kOutcomeUnknown:
      return "outcome-unknown";
  }
  return "unavailable";
}

}  // namespace eelgrass
