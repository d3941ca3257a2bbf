#include "kernel/model/worker_messages.h"

namespace eelgrass {

std::string_view RunEndName(run_end how) {
  switch (how) {
    case run_end::kDone:
      return "done";
    case run_end::kFailed:
      return "failed";
    case run_end::kStopped:
      return "stopped";
    case run_end::kLapsed:
      return "lapsed";
    case run_end::kBroken:
      return "broken";
    case run_end::kAlone:
      return "alone";
  }
  return "failed";
}

std::string_view StartRefusalName(start_refusal reason) {
  switch (reason) {
    case start_refusal::kFence:
      return "fence";
    case start_refusal::kOld:
      return "old";
    case start_refusal::kLate:
      return "late";
    case start_refusal::kRoom:
      return "room";
    case start_refusal::kTicket:
      return "ticket";
    case start_refusal::kInvalid:
      return "invalid";
    case start_refusal::kUnhealthy:
      return "unhealthy";
    case start_refusal::kBarred:
      return "barred";
  }
  return "invalid";
}

}  // namespace eelgrass
