/** \file
 * The duty that records request outcomes and stores snapshots.
 */
#pragma once

#include <string>
#include <vector>

#include "kernel/base/clock.h"
#include "kernel/base/duty_handler.h"
#include "kernel/base/event_sink.h"
#include "kernel/front/caller_front.h"
#include "kernel/io/http_client.h"
#include "kernel/report/report_core.h"

namespace eelgrass {

/** Passes events to the report core and reads and writes the platform's object store. */
class report_duty : public duty_handler<report_event> {
 public:
  report_duty(report_core& core, http_client& client, std::string store_url, const clock& time);

  /** SetFront and SetSelf must be called before the duty starts. */
  void SetFront(caller_front& front) { front_ = &front; }
  void SetSelf(event_sink<report_event>& self) { self_ = &self; }

  void Handle(std::span<report_event> events, millis now) override;

 private:
  void Execute(const write_snapshot& action);
  void Execute(const list_snapshots& action);
  void Execute(const read_snapshot& action);
  void Execute(const report_answer& action);
  void Call(std::string_view method, const std::string& path, std::string body,
            http_client::callback done);

  report_core& core_;
  http_client& client_;
  const std::string store_url_;
  const clock& clock_;
  caller_front* front_ = nullptr;
  event_sink<report_event>* self_ = nullptr;
  std::vector<report_action> actions_;
};

}  // namespace eelgrass
