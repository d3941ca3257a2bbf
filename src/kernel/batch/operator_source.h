/** \file
 * The interface of the operator source plug-ins.
 */
#pragma once

#include <memory>
#include <string>

#include "kernel/base/plugin_registry.h"
#include "kernel/model/batch_config.h"
#include "kernel/model/rows.h"

namespace eelgrass {

/** Decodes the rows that hold the operators' settings. */
class operator_source {
 public:
  virtual ~operator_source() = default;

  /** The table that operators write to. */
  virtual std::string_view table() const = 0;

  /** The row of the configuration. */
  virtual row_key config_row() const = 0;

  /** Applies one row; an unreadable one is an error and leaves the state as it is. */
  virtual result<void> Apply(const row& change, millis now, operator_state& state) const = 0;
};

using operator_source_registry = plugin_registry<operator_source>;

template <typename Implementation>
using operator_source_registration =
    plugin_registration<operator_source_registry, operator_source, Implementation>;

}  // namespace eelgrass
