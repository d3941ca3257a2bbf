#include "kernel/batch/call_verdict.h"

#include <algorithm>
#include <cctype>

namespace eelgrass {
namespace {

/** Length of a job's id in hexadecimal digits, by the platform's interface. */
constexpr size_t kJobIdLength = 16;

bool IsJobId(std::string_view text) {
  return text.size() == kJobIdLength && std::all_of(text.begin(), text.end(), [](char c) {
           return std::isxdigit(static_cast<unsigned char>(c)) != 0;
         });
}

}  // namespace

call_verdict JudgeCall(const caller_call& call, const batch_config& config) {
  call_verdict verdict;
  const auto refuse = [&](call_answer answer, std::string_view detail) {
    verdict.refusal = answer;
    verdict.detail = detail;
    return verdict;
  };
  const batch_queue* queue = config.FindQueue(call.host, call.path);
  if (queue == nullptr) return refuse(call_answer::kNoSuchQueue, "no queue has this host and path");
  verdict.queue = queue->name;
  verdict.job = call.path.substr(queue->path_prefix.size());
  verdict.keyed = !queue->open_to_all;
  if (verdict.keyed) {
    const batch_organisation* owner = config.FindKey(call.key);
    if (owner == nullptr) return refuse(call_answer::kNoSuchKey, "unknown key");
    verdict.organisation = owner->name;
  }
  if (call.body_bytes > config.max_body_bytes) {
    return refuse(call_answer::kTooLarge, "the body is too large");
  }
  const bool whole_queue = verdict.job.empty() && call.kind == call_kind::kState;
  if (!whole_queue && !IsJobId(verdict.job)) {
    return refuse(call_answer::kNoSuchQueue, "a job's id must be 16 hexadecimal digits");
  }
  if (call.kind == call_kind::kSubmit && !call.job) {
    return refuse(call_answer::kMalformed, call.problem);
  }
  return verdict;
}

}  // namespace eelgrass
