#include "daemons/node/entry_links.h"

namespace eelgrass {
namespace {

bool IsForRouter(const peer_message& message) {
  return std::holds_alternative<attempt_answer>(message) ||
         std::holds_alternative<slot_credit>(message) ||
         std::holds_alternative<claim_answer>(message);
}

}  // namespace

void entry_links::OnLink(link_event event) {
  if (auto* received = std::get_if<peer_said>(&event)) {
    if (IsForRouter(received->message)) {
      router_.Deliver(std::move(*received));
      return;
    }
    if (std::holds_alternative<announce>(received->message)) router_.Deliver(peer_said(*received));
    control_.Deliver(std::move(*received));
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
