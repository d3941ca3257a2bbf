/** \file
 * Changes of configuration: applied now, or booked, reviewed and applied when due.
 */
#pragma once

#include <map>
#include <string>
#include <string_view>
#include <vector>

#include "kernel/base/error.h"
#include "kernel/base/millis.h"
#include "kernel/records/record_table.h"

namespace eelgrass {

/** How an attempt to apply a change ended. */
struct change_outcome {
  std::string change;
  bool applied = false;
  int64_t version = 0;
  error problem;  // when not applied
};

/**
 * Applies changes by one conditional transaction on the configuration's row, so that of several
 * racing operators one wins and the others learn which change they lost against. A booked change
 * is merged with what has happened since it was made; entries changed by both sides make it fail
 * visibly. Whichever entry leads applies what is due; the transaction makes that happen once.
 */
class change_book {
 public:
  explicit change_book(record_table& table);

  /** Tries to apply a change now; its outcome comes through TakeOutcomes. */
  result<void> Apply(change_record change, millis wall_now);

  /** Books, reviews or withdraws: writes the change's row. */
  void Write(change_record change) { table_.Want(std::move(change), write_rank::kFirst); }

  void On(const table_event& event);

  /** Applies what is due, if this entry leads. */
  void Tick(millis wall_now, bool leading);

  const change_record* Find(std::string_view id) const;
  std::vector<change_record> All() const;
  std::vector<change_outcome> TakeOutcomes();

 private:
  void ApplyDue(const change_record& change, millis wall_now);
  void Fail(change_record change, std::string_view reason);
  void Conclude(const change_record& ours, const table_event& event);

  record_table& table_;
  std::map<std::string, change_record, std::less<>> changes_;
  std::map<std::string, change_record, std::less<>> applying_;
  std::vector<change_outcome> outcomes_;
};

}  // namespace eelgrass
