/** \file
 * Discovery of the other entries through the store.
 */
#pragma once

#include <cstdint>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <string_view>
#include <vector>

#include "kernel/base/millis.h"
#include "kernel/batch/entry_table_reader.h"
#include "kernel/batch/link_changes.h"
#include "kernel/batch/store_exchange.h"

namespace eelgrass {

/**
 * Keeps this entry's row in the store's table of entries and stays connected to the entries that
 * the table lists. An entry writes its row before it reads the table: of two that start at once,
 * at least one sees the other's row. The table is read again and again, as rows may be lost or may
 * have been missed.
 *
 * The rows of entries that are gone would fill the table. The planner removes a row after many
 * readings in a row during which it was not connected to that entry. A reading proves that time
 * has passed, which the clock does not after a suspension. An entry whose row was removed while it
 * was only out of reach writes it again at its next reading.
 */
class entry_discovery {
 public:
  /** `node`: id of this entry; `peer_address`: on which it accepts peers. */
  entry_discovery(std::string node, std::string peer_address);

  void OnConnected(std::string_view entry) { connected_.insert(std::string(entry)); }
  void OnDisconnected(std::string_view entry);

  /** The call that is due, if any. `planning`: whether this entry is the planner. */
  std::optional<store_request> NextCall(bool planning, millis now);

  /** Handles the answer to the last call. */
  void On(const store_reply& reply, millis now);

  /** The addresses to connect to and to give up now. */
  link_changes NextLinks(millis now);

  /** Number of other entries in the table, as it was last read. */
  size_t listed() const { return others_.size(); }

  /** Number of connected entries. */
  size_t connected() const { return connected_.size(); }

 private:
  enum class call_kind { kNone, kRegister, kRead, kRemove };

  /** Another entry's row. */
  struct listed_entry {
    std::string address;
    int64_t revision = 0;
    int readings_apart = 0;  // readings in a row during which it was not connected
  };

  store_request RegisterCall() const;
  std::optional<store_request> RemoveCall() const;
  void OnRead(const rows_result& answer, millis now);
  void UpdateTable(millis now);
  bool Wanted(const std::string& entry, size_t place) const;

  const std::string node_;
  const std::string peer_address_;
  entry_table_reader table_;
  std::map<std::string, listed_entry> others_;  // by id
  std::vector<std::string> order_;              // their ids, the one that registered last first
  std::set<std::string, std::less<>> connected_;
  std::map<std::string, std::string> dialled_;  // id by address
  size_t turn_from_ = 0;                        // place in the order from which entries are dialled
  millis next_turn_{0};
  call_kind pending_ = call_kind::kNone;
  bool registered_ = false;  // this entry's row is written
  bool read_ = false;        // the table was read since the start
  bool removal_due_ = false;
  bool links_due_ = false;
  millis next_{0};
};

}  // namespace eelgrass
