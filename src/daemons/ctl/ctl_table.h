/** \file
 * Plain tables on standard output.
 */
#pragma once

#include <iosfwd>
#include <string>
#include <vector>

namespace eelgrass {

/** Rows of text, printed with columns as wide as they need to be. */
class ctl_table {
 public:
  explicit ctl_table(std::vector<std::string> header);

  void Add(std::vector<std::string> row);
  void Print(std::ostream& out) const;

 private:
  std::vector<std::vector<std::string>> rows_;
};

}  // namespace eelgrass
