/** \file
 * Which entry plans, and under which fence.
 */
#pragma once

#include <optional>
#include <set>
#include <span>
#include <string>

#include "kernel/batch/batch_records.h"
#include "kernel/batch/store_clock.h"
#include "kernel/batch/store_exchange.h"
#include "kernel/model/worker_messages.h"

namespace eelgrass {

/**
 * A holder gives orders for this long after a confirmed write, so that no order of an earlier
 * holder is given later than this after a takeover. It rewrites the term every second.
 */
inline constexpr millis kTermValidity{3500};

/** Of all rows that takeovers write, this one is left alone by renewals. */
inline row_key EpochRow() { return {std::string(kTermTable), "", std::string(kEpochKey)}; }

/** What a write under the term came to. */
enum class term_write { kDone, kTryAgain, kLost };

/**
 * Holds or follows the term: one row in the store whose holder plans. The revision of the takeover
 * is the fence of all its orders. Every write of the holder rewrites the row under the condition of
 * its last revision, so that a holder that was suspended or cut off cannot write any more, and a
 * write whose answer was lost is done at most once however often it is sent.
 */
class term_election {
 public:
  term_election(std::string node, std::string nonce, const batch_record_codec& codec);

  /** The call to make now, if any: reading the row or taking it over. */
  std::optional<store_request> Next(millis now);
  void On(const store_reply& reply, millis now);

  void OnConnected(std::string_view entry, millis now);
  void OnDisconnected(std::string_view entry, millis now);

  /** An entry's process has certainly ended. */
  void OnGone(std::string_view entry, millis now);
  void OnNotice(std::string_view entry, const planner_notice& notice, millis now);

  /** This entry's own calls reach the store. */
  void OnStoreContact(millis at) { store_contact_ = std::max(store_contact_, at); }

  bool holding() const { return holding_; }
  int64_t fence() const { return fence_; }
  const std::string& holder() const { return holder_; }

  /** Whether nobody else can have been holding the term for long: orders may be given. */
  bool TermValid(millis now) const;

  /** Whether another entry with contact to the store should take over. */
  bool store_lost(millis now) const;

  const store_clock& clock() const { return clock_; }

  /** When the last write that is known to be done was sent. */
  millis confirmed() const { return confirmed_; }

  /** Adds the term's condition and row to a transaction. */
  void Guard(row_transaction& change, bool hand_over, millis now);

  /** Renews the condition of a guarded transaction that is to be sent again. */
  void RefreshGuard(row_transaction& change) const;

  /** What became of the last guarded transaction, sent at `sent`. */
  term_write OnWritten(const transaction_result& result, millis sent);

  /** Somebody else plans, or may. */
  void StepDown(std::string_view reason, millis now);

 private:
  enum class step { kWatching, kReading, kObserving, kTaking };

  bool PlannerAlive() const;
  row_key Row() const;
  const row* FindRow(std::span<const row> rows) const;
  void OnRead(const rows_result& answer, millis now);
  void OnTaken(const transaction_result& answer, millis now);
  void BecomeHolder(int64_t revision, millis now);
  void EvaluateRow(const row* found, millis now);
  void BeginTakeover(const term_record& record, std::string_view reason, millis now);

  const std::string node_;
  const std::string nonce_;
  const batch_record_codec& codec_;
  step step_ = step::kWatching;
  bool call_pending_ = false;
  bool holding_ = false;
  int64_t fence_ = 0;
  int64_t revision_ = 0;  // of the row
  int64_t write_count_ = 0;
  std::string holder_;
  bool holder_notified_ = false;  // the holder itself has said that it plans
  bool holder_store_lost_ = false;
  bool holder_ended_ = false;  // its process has ended
  std::set<std::string> connected_;
  millis no_planner_since_{0};  // nobody is known to plan since then
  millis next_{0};
  std::optional<int64_t> observed_;  // revision seen before
  millis observed_at_{0};
  millis sent_{0};
  millis confirmed_{INT64_MIN / 4};
  millis store_contact_{INT64_MIN / 4};
  store_clock clock_;
};

}  // namespace eelgrass
