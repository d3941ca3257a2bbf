/** \file
 * Delivers the connection events of an agent to its duty.
 */
#pragma once

#include "kernel/base/event_sink.h"
#include "kernel/io/peer_hub.h"

namespace eelgrass {

/** Link listener of an agent with a single deciding duty, which takes events of type Event. */
template <typename Event>
class agent_links : public link_listener {
 public:
  explicit agent_links(event_sink<Event>& target) : target_(target) {}

  void OnLink(link_event event) override {
    std::visit([this](auto& e) { this->Deliver(e); }, event);
  }

 private:
  template <typename Link>
  void Deliver(Link& link) {
    constexpr bool kSkipped = std::is_same_v<Link, lane_lost> || std::is_same_v<Link, peer_refused>;
    if constexpr (!kSkipped) target_.Deliver(std::move(link));
  }

  event_sink<Event>& target_;
};

}  // namespace eelgrass
