/** \file
 * The rows of the table service stand-in.
 */
#pragma once

#include <cstdint>
#include <map>
#include <set>
#include <string>
#include <string_view>
#include <vector>

namespace eelgrass {

/** One row. */
struct memory_row {
  std::string key;
  int64_t revision = 0;
  std::string value;
};

/** One write of a transaction. */
struct memory_write {
  std::string key;
  int64_t expected = 0;  // revision; 0: there must be no such row
  std::string value;
};

/** Rows with one revision counter, conditional transactions and scans for changes. */
class memory_table {
 public:
  /** All or nothing. False, with the rows that differ, when a condition does not hold. */
  bool Write(const std::vector<memory_write>& writes, std::vector<memory_row>& conflicts);

  /**
   * Rows with a revision above `since`, oldest first, about `limit`: rows of one transaction have
   * one revision and stay together.
   */
  std::vector<memory_row> Changed(int64_t since, size_t limit) const;

  int64_t revision() const { return revision_; }

 private:
  std::map<std::string, memory_row, std::less<>> rows_;
  std::map<int64_t, std::set<std::string>> by_revision_;
  int64_t revision_ = 0;
};

}  // namespace eelgrass
