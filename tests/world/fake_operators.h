/** \file
 * The operators of a batch world.
 */
#pragma once

#include <functional>
#include <string_view>

#include "kernel/batch/operator_source.h"
#include "kernel/model/batch_config.h"
#include "standins/standin_rows.h"

namespace eelgrass {

/** Write the configuration and which domains are evacuated. Rows hold no more than revisions. */
class fake_operators final : public operator_source {
 public:
  explicit fake_operators(standin_rows& rows);

  void Configure(const std::function<void(batch_config&)>& edit);
  void Evacuate(std::string_view domain, bool out);

  std::string_view table() const override { return "operators"; }
  row_key config_row() const override { return {"operators", "", "config"}; }
  result<void> Apply(const row& change, millis at, operator_state& state) const override;

 private:
  standin_rows& rows_;
  batch_config config_;
};

}  // namespace eelgrass
