/** \file
 * The interface through which a program runs either kind of agent.
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

  /** Number of requests or gangs that stopping now would interrupt. */
  virtual int open_work() const = 0;

  /** May be called after a failed start, and more than once. */
  virtual void Stop() = 0;
};

/** Runs an agent until a stop signal, then drains it. Returns the exit code. */
int RunAgent(agent_node& node, const process_signals& signals);

}  // namespace eelgrass
