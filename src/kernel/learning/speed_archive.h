/** \file
 * Keeps the known speeds of VMs in the store, so that a new planner begins with them.
 */
#pragma once

#include <cstdint>
#include <map>
#include <optional>
#include <set>
#include <span>
#include <string>
#include <string_view>
#include <vector>

#include "kernel/batch/batch_records.h"
#include "kernel/batch/store_clock.h"
#include "kernel/batch/store_exchange.h"
#include "kernel/learning/worker_speeds.h"

namespace eelgrass {

/** Tokens of the archive's store calls are at most this; the term's and the journal's are above. */
inline constexpr int64_t kFirstArchiveToken = -2;

/**
 * Decides when the planner reads and writes the rows of known speeds, for loads on workers of
 * different speeds whose planner is replaced. The rows are read once in each term and give priors
 * to the comparison of rates. A row is written on condition of its revision, so that of two
 * planners' measurements of a VM the newer one stays. Losing the rows costs only the time to
 * measure the speeds again.
 */
class speed_archive {
 public:
  speed_archive(const batch_record_codec& codec, size_t row_bytes)
      : codec_(codec), row_bytes_(row_bytes) {}

  /** Forgets the rows of an earlier term; answers to its calls are disregarded. */
  void BeginTerm(int64_t term, millis now);

  /** The call that is due, if any. Not to be called while the term is not held. */
  std::optional<store_request> Next(const worker_speeds& speeds, const store_clock& clock,
                                    millis now);

  /** Handles an answer; the speeds that were read become priors. */
  void On(const store_reply& reply, worker_speeds& speeds, const store_clock& clock, millis now);

  /** The number of rows, in all terms of this process, whose content was of no use. */
  int64_t ignored_rows() const { return ignored_rows_; }

 private:
  /** The speed of a VM as the store has it. */
  struct stored_speed {
    size_t row = 0;
    double slowness = 0;
    double deviation = 0;
    millis measured{0};  // by the store's clock
  };
  using speed_map = std::map<std::string, stored_speed, std::less<>>;
  struct archive_row {
    int64_t revision = 0;  // as last read or written; 0: the row does not exist
    size_t limit = 0;      // of VMs
  };

  void OnRead(const rows_result& answer, worker_speeds& speeds, millis store_now, millis now);
  void OnWritten(const transaction_result& answer, millis store_now, millis now);
  void Accept(const row& found, millis store_now);
  void Ignore(const row& found, std::string_view reason);
  void Restore(worker_speeds& speeds, millis store_now, millis now);
  std::set<size_t> Collect(const worker_speeds& speeds, const store_clock& clock, millis store_now);
  std::optional<size_t> RowWithRoom(std::span<const size_t> counts) const;
  std::string EncodeRow(size_t index);
  std::optional<store_request> Write(const worker_speeds& speeds, const store_clock& clock,
                                     millis now);

  const batch_record_codec& codec_;
  const size_t row_bytes_;
  int64_t term_ = 0;
  int64_t last_token_ = kFirstArchiveToken + 1;
  std::optional<int64_t> pending_;  // token of the open call
  millis sent_{0};
  millis next_{0};
  bool loaded_ = false;
  int pages_ = 0;
  std::string continue_at_;
  std::vector<archive_row> rows_;
  speed_map stored_;
  speed_map writing_;  // content of the rows that are being written, and of others
  std::set<size_t> written_rows_;
  int64_t ignored_rows_ = 0;
};

}  // namespace eelgrass
