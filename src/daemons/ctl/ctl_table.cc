#include "daemons/ctl/ctl_table.h"

#include <algorithm>
#include <ostream>

namespace eelgrass {

ctl_table::ctl_table(std::vector<std::string> header) { rows_.push_back(std::move(header)); }

void ctl_table::Add(std::vector<std::string> row) { rows_.push_back(std::move(row)); }

void ctl_table::Print(std::ostream& out) const {
  std::vector<size_t> widths(rows_.front().size(), 0);
  for (const auto& row : rows_) {
    for (size_t i = 0; i < row.size(); ++i) widths[i] = std::max(widths[i], row[i].size());
  }
  for (const auto& row : rows_) {
    std::string line;
    for (size_t i = 0; i < row.size(); ++i) {
      line += row[i];
      if (i + 1 < row.size()) line += std::string(widths[i] - row[i].size() + 2, ' ');
    }
    out << line << "\n";
  }
}

}  // namespace eelgrass
