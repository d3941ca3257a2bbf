/** \file
 * Interface of the front-end plug-ins, which serve callers and operators.
 */
#pragma once

#include <memory>
#include <string>

#include "kernel/base/event_sink.h"
#include "kernel/base/metrics.h"
#include "kernel/base/plugin_registry.h"
#include "kernel/control/control_core.h"
#include "kernel/io/http_front.h"
#include "kernel/report/report_core.h"
#include "kernel/requests/request_router.h"

namespace eelgrass {

/** The entry's components that a front end uses. */
struct front_context {
  http_front& server;
  event_sink<router_event>& router;
  event_sink<control_event>& control;
  event_sink<report_event>& reports;
  metrics& counters;
  std::string entry;             // id of the entry, for problem documents
  std::string bootstrap_digest;  // of the operator token that is valid until a document is accepted
};

/** Translates requests into events and answers into responses. Makes no decisions itself. */
class caller_front {
 public:
  virtual ~caller_front() = default;

  virtual result<void> Start() = 0;
  virtual void Answer(const caller_answer& answer) = 0;
  virtual void Answer(const addressed_reply& answer) = 0;
  virtual void Answer(const report_answer& answer) = 0;

  /** Sets the document whose tokens are valid. */
  virtual void SetDocument(std::shared_ptr<const document> doc) = 0;

  /** Sets whether /readyz reports that the entry accepts new requests. */
  virtual void SetReady(bool ready) = 0;
};

using caller_front_registry = plugin_registry<caller_front, front_context>;

template <typename Implementation>
using caller_front_registration =
    plugin_registration<caller_front_registry, caller_front, Implementation, front_context>;

}  // namespace eelgrass
