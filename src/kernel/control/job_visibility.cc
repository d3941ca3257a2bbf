#include "kernel/control/job_visibility.h"

#include <string>

#include "kernel/records/record_table.h"

namespace eelgrass {

const job_row* FindVisibleJob(const record_table& table, const principal& who,
                              std::string_view id) {
  const stored_record* known = table.Find("jobs/" + std::string(id));
  if (known == nullptr) return nullptr;
  const auto& row = std::get<job_row>(known->value);
  const bool visible = who.is_operator() || row.spec.organisation == who.name;
  return visible ? &row : nullptr;
}

}  // namespace eelgrass
