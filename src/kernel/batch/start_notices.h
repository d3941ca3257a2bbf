/** \file
 * Tells other entries which starts the planner is about to order.
 */
#pragma once

#include <map>
#include <set>
#include <string>
#include <string_view>
#include <utility>
#include <vector>

#include "kernel/base/millis.h"
#include "kernel/batch/open_starts.h"
#include "kernel/model/link_events.h"

namespace eelgrass {

/**
 * A start is ordered only once it is known outside of this entry's failure domain: its agent and
 * this entry may end, or be cut off, together before it is answered. A few entries hold the open
 * starts, and the first answer from another domain is enough. Otherwise the store has to hold them.
 */
class start_notices {
 public:
  /** `domain`: of this entry; empty: not known. */
  explicit start_notices(std::string domain) : domain_(std::move(domain)) {}

  /** Handles a connection to an entry with this much processor, see term_candidate. */
  void OnConnected(std::string_view entry, std::string_view domain, double processor);
  void OnDisconnected(std::string_view entry);

  /** Discards the holders at the start of a term. */
  void BeginTerm();

  void On(std::string_view entry, const open_starts_received& answer, open_starts& starts);

  /** Appends the notices that are due. */
  void Next(open_starts& starts, millis now, std::vector<send_to_peer>& notices);

  /** Whether starts wait that no entry has answered in time. */
  bool StoreNeeded(const open_starts& starts, millis now) const;

 private:
  struct candidate {
    std::string domain;
    double processor = 0;
  };

  std::set<std::string> Holders() const;
  bool IsElsewhere(std::string_view domain) const;

  const std::string domain_;

  std::map<std::string, candidate, std::less<>> entries_;  // connected, by id
  std::set<std::string> holders_;
  std::map<int64_t, millis> unanswered_;  // when a notice was sent, by number
  int64_t last_number_ = 0;
  millis next_{0};  // for what need not be told at once
};

}  // namespace eelgrass
