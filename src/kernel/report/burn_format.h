/** \file
 * How a burn report is written: the interface of the report plug-ins.
 */
#pragma once

#include <string>

#include "kernel/base/plugin_registry.h"
#include "kernel/report/burn_table.h"

namespace eelgrass {

/** Writes a report in one format. */
class burn_format {
 public:
  virtual ~burn_format() = default;
  virtual std::string content_type() const = 0;
  virtual std::string Write(const burn_report& report) const = 0;
};

using burn_format_registry = plugin_registry<burn_format>;

template <typename Implementation>
using burn_format_registration =
    plugin_registration<burn_format_registry, burn_format, Implementation>;

}  // namespace eelgrass
