/** \file
 * Events that every deciding duty understands.
 */
#pragma once

#include <memory>

#include "kernel/model/document.h"

namespace eelgrass {

/** Another document is in force. */
struct document_changed {
  std::shared_ptr<const document> doc;
};

/** The process is to stop: finish what is in flight, admit nothing. */
struct drain_wanted {};

}  // namespace eelgrass
