/** \file
 * Callers of a batch world.
 */
#pragma once

#include <cstdint>
#include <functional>
#include <map>
#include <string>
#include <string_view>

#include "kernel/batch/caller_call.h"
#include "standins/batch_check.h"
#include "tests/world/timeline.h"

namespace eelgrass {

/** Hand their calls in at one entry after another until they know what became of them. */
class batch_callers {
 public:
  /** Hands a call in at the entry whose turn it is; an entry that is away says nothing. */
  using hand_in = std::function<void(uint64_t turn, const caller_call& call)>;

  batch_callers(timeline& events, batch_check& check, hand_in call);

  /** A caller hands a job in, trying again at other entries until it knows. */
  void Submit(const batch_job& job);
  void Cancel(std::string_view job) { Ask(call_kind::kCancel, job); }

  /** A caller asks for a job's state every half second until it is final. */
  void Watch(std::string_view job) { Ask(call_kind::kState, job); }

  void OnReply(const caller_reply& reply);

 private:
  struct caller_try {
    batch_job job;
    call_kind kind = call_kind::kSubmit;
    int tries = 0;
    bool settled = false;
  };

  void Ask(call_kind kind, std::string_view job);
  void Begin(call_kind kind, const batch_job& job);
  void Try(uint64_t id);

  timeline& events_;
  batch_check& check_;
  const hand_in call_;
  std::map<uint64_t, caller_try> callers_;
  uint64_t last_caller_ = 0;
};

}  // namespace eelgrass
