#include "standins/fault_switch.h"

#include "kernel/io/http_messages.h"

namespace eelgrass {

void fault_switch::Set(std::string_view query) {
  http_request request;
  request.target = "?" + std::string(query);
  fault_state next;
  next.down = request.Parameter("down") == "1";
  next.lose_answers = request.Parameter("lose_answers") == "1";
  next.delay = millis(std::atoll(std::string(request.Parameter("delay_ms")).c_str()));
  std::lock_guard lock(mutex_);
  state_ = next;
}

}  // namespace eelgrass
