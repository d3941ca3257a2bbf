/** \file
 * What both kinds of agent are to the program that runs them.
 */
#pragma once

#include "daemons/node/process_signals.h"
#include "kernel/base/error.h"

namespace eelgrass {

/** An agent that can be started and drained. */
class agent_node {
 public:
  virtual ~agent_node() = default;
  virtual result<void> Start() = 0;
  virtual void BeginDrain() = 0;
  virtual bool drained() const = 0;

  /** How many requests or gangs would be cut by ending now. */
  virtual int open_work() const = 0;

  /** Also after a start that failed, and more than once. */
  virtual void Stop() = 0;
};

/** Runs an agent until a stop signal, then drains it. Returns the exit code. */
int RunAgent(agent_node& node, const process_signals& signals);

}  // namespace eelgrass
