/** \file
 * The command that takes a failure domain out of service or back in.
 */
#pragma once

#include <string>
#include <utility>

#include "kernel/control/operator_command.h"
#include "kernel/model/document.h"

namespace eelgrass {

/** Builds a document with the domain's new status and applies it as an emergency, unreviewed. */
class set_domain_command : public operator_command {
 public:
  set_domain_command(std::string domain, bool out, window_mode mode, std::string id)
      : domain_(std::move(domain)), out_(out), mode_(mode), id_(std::move(id)) {}

  void Run(control_core& control, const command_origin& origin) override;

 private:
  const std::string domain_;
  const bool out_;
  const window_mode mode_;
  const std::string id_;
};

}  // namespace eelgrass
