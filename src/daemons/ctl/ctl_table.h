/** \file
 * Plain-text tables.
 */
#pragma once

#include <iosfwd>
#include <string>
#include <vector>

namespace eelgrass {

/** Rows of text, printed with each column as wide as its widest cell. */
class ctl_table {
 public:
  explicit ctl_table(std::vector<std::string> header);

  void Add(std::vector<std::string> row);
  void Print(std::ostream& out) const;

 private:
  std::vector<std::vector<std::string>> rows_;
};

}  // namespace eelgrass
