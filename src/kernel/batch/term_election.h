/** \file
 * Elects the entry that plans, and the fence of its orders.
 */
#pragma once

#include <map>
#include <optional>
#include <span>
#include <string>

#include "kernel/batch/batch_records.h"
#include "kernel/batch/store_clock.h"
#include "kernel/batch/store_exchange.h"
#include "kernel/model/worker_messages.h"

namespace eelgrass {

/**
 * A holder gives orders only for this long after sending its last confirmed write. It bounds how
 * long after a takeover the earlier holder can still give orders. The holder rewrites the term
 * every second.
 */
inline constexpr millis kTermValidity{3500};

/** The row that takeovers write and renewals do not. */
inline row_key EpochRow() { return {std::string(kTermTable), "", std::string(kEpochKey)}; }

/** The outcome of a write under the term. */
enum class term_write { kDone, kTryAgain, kLost };

/** An entry that may plan. */
struct term_candidate {
  std::string node;
  std::string nonce;     // different for each start of the process
  double processor = 0;  // cores, or share of one; 0: not known
};

/**
 * Holds or follows the term, a row in the store whose holder is the planner. The revision of the
 * takeover is the fence of all orders. Every write of the holder also rewrites this row on
 * condition of its last revision. Therefore a holder that was suspended or partitioned cannot write
 * after a takeover, and a write whose answer was lost takes effect at most once however often it is
 * sent.
 *
 * The connected entries claim a free term in an order that each of them knows beforehand: those
 * with more processor first, as planning takes more of it than all else, then by their ids. The
 * others wait for a moment, in which the first one's notice reaches them.
 */
class term_election {
 public:
  term_election(term_candidate self, const batch_record_codec& codec);

  /** The call that is due, if any: a read of the row or a takeover. */
  std::optional<store_request> Next(millis now);
  void On(const store_reply& reply, millis now);

  /** Handles a connection to an entry with this much processor, see term_candidate. */
  void OnConnected(std::string_view entry, double processor, millis now);
  void OnDisconnected(std::string_view entry, millis now);

  /** Handles the certain end of an entry's process. */
  void OnProcessEnded(std::string_view entry, millis now);
  void OnNotice(std::string_view entry, const planner_notice& notice, millis now);

  /** Records that the store has answered a call of this entry. */
  void OnStoreContact(millis at) { store_contact_ = std::max(store_contact_, at); }

  bool holding() const { return holding_; }
  int64_t fence() const { return fence_; }
  const std::string& holder() const { return holder_; }

  /** Whether this entry holds the term and may give orders, see kTermValidity. */
  bool TermValid(millis now) const;

  /** Whether this holder cannot reach the store, so that another entry should take over. */
  bool store_lost(millis now) const;

  const store_clock& clock() const { return clock_; }

  /** When the last confirmed write was sent. */
  millis confirmed() const { return confirmed_; }

  /** Adds the term's condition and row to a transaction. */
  void Guard(row_transaction& change, bool hand_over, millis now);

  /** Updates the term's condition in a guarded transaction before it is sent again. */
  void RefreshGuard(row_transaction& change) const;

  /** Handles the result of the last guarded transaction, which was sent at `sent`. */
  term_write OnWritten(const transaction_result& result, millis sent);

  /** Gives up the term, as another entry plans or may plan. */
  void StepDown(std::string_view reason, millis now);

 private:
  enum class step { kWatching, kReading, kObserving, kTaking };

  bool PlannerAlive() const;
  millis ClaimDelay() const;
  row_key Row() const;
  const row* FindRow(std::span<const row> rows) const;
  void OnRead(const rows_result& answer, millis now);
  void OnTaken(const transaction_result& answer, millis now);
  void BecomeHolder(int64_t revision, millis now);
  void EvaluateRow(const row* found, millis now);
  void BeginTakeover(const term_record& record, std::string_view reason, millis now);

  const std::string node_;
  const std::string nonce_;
  const double processor_;
  const batch_record_codec& codec_;
  step step_ = step::kWatching;
  bool call_pending_ = false;
  bool holding_ = false;
  int64_t fence_ = 0;
  int64_t revision_ = 0;  // of the row
  int64_t write_count_ = 0;
  std::string holder_;
  bool holder_notified_ = false;  // a notice of the holder itself was received
  bool holder_store_lost_ = false;
  bool holder_ended_ = false;                // its process has ended
  std::map<std::string, double> connected_;  // entries: processor by id
  std::optional<millis> started_;
  millis no_planner_since_{0};  // no connected planner is known since then
  millis next_{0};
  std::optional<int64_t> observed_;  // revision of the previous read
  millis observed_at_{0};
  millis sent_{0};
  millis confirmed_{INT64_MIN / 4};
  millis store_contact_{INT64_MIN / 4};
  store_clock clock_;
};

}  // namespace eelgrass
