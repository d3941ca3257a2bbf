/** \file
 * The table service on a virtual clock.
 */
#pragma once

#include <functional>
#include <map>
#include <random>
#include <string>

#include "kernel/records/records.h"
#include "tests/world/timeline.h"

namespace eelgrass {

/** Rows with conditional transactions; can be down, slow, or lose answers. */
class fake_store {
 public:
  using reply_callback = std::function<void(store_answer)>;

  fake_store(timeline& events, uint64_t seed) : events_(events), random_(seed) {}

  void Submit(const store_call& call, reply_callback reply);

  void SetDown(bool down) { down_ = down; }
  void SetDelay(millis delay) { delay_ = delay; }

  /** Share of the writes, in percent, that take effect without an answer. */
  void SetLostPercent(int percent) { lost_percent_ = percent; }

  const std::map<std::string, stored_record>& rows() const { return rows_; }
  int64_t writes() const { return writes_; }
  int64_t reads() const { return reads_; }

 private:
  store_answer Carry(const store_call& call);
  store_answer Scan(uint64_t token, const scan_changes& scan);
  store_answer Write(uint64_t token, const write_records& writes);

  timeline& events_;
  std::mt19937_64 random_;
  std::map<std::string, stored_record> rows_;
  int64_t revision_ = 0;
  int64_t writes_ = 0;
  int64_t reads_ = 0;
  bool down_ = false;
  millis delay_{2};
  int lost_percent_ = 0;
};

}  // namespace eelgrass
