#include "daemons/node/entry_links.h"

namespace eelgrass {
namespace {

bool ForRouter(const peer_message& message) {
  return std::holds_alternative<attempt_answer>(message) ||
         std::holds_alternative<slot_credit>(message) ||
         std::holds_alternative<claim_answer>(message);
}

}  // namespace

void entry_links::OnLink(link_event event) {
  if (auto* said = std::get_if<peer_said>(&event)) {
    if (ForRouter(said->message)) {
      router_.Deliver(std::move(*said));
      return;
    }
    if (std::holds_alternative<announce>(said->message)) router_.Deliver(peer_said(*said));
    control_.Deliver(std::move(*said));
    return;
  }
  std::visit(
      [this](auto& e) {
        if constexpr (!std::is_same_v<std::decay_t<decltype(e)>, peer_refused>) {
          auto copy = e;
          router_.Deliver(std::move(copy));
          control_.Deliver(std::move(e));
        }
      },
      event);
}

}  // namespace eelgrass
