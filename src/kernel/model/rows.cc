#include "kernel/model/rows.h"

namespace eelgrass {

std::string_view RowOutcomeName(row_outcome outcome) {
  switch (outcome) {
    case row_outcome::kDone:
      return "done";
    case row_outcome::kConflict:
      return "conflict";
    case row_outcome::kNotDone:
      return "not-done";
    case row_outcome::kUnknown:
      return "unknown";
    case row_outcome::kHistoryGone:
      return "history-gone";
  }
  return "unknown";
}

}  // namespace eelgrass
