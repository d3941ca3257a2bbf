#include "tests/world/fake_store.h"

#include <algorithm>

namespace eelgrass {
namespace {
constexpr millis kCallTimeout{2000};
constexpr int kPercent = 100;
}  // namespace

void fake_store::Submit(const store_call& call, reply_callback reply) {
  const bool write = std::holds_alternative<write_records>(call.what);
  ++(write ? writes_ : reads_);
  const uint64_t token = call.token;
  if (down_) {
    const store_status status = write ? store_status::kUnknown : store_status::kUnavailable;
    events_.After(kCallTimeout, [token, status, reply = std::move(reply)] {
      reply({token, status, 0, false, {}});
    });
    return;
  }
  const bool lost = write && static_cast<int>(random_() % kPercent) < lost_percent_;
  const bool late = delay_ >= kCallTimeout;
  const millis effect = delay_ / 2;
  events_.After(effect, [this, call, lost, late, write, token, effect, reply = std::move(reply)] {
    store_answer answer = Carry(call);
    const store_status status = write ? store_status::kUnknown : store_status::kUnavailable;
    if (lost || late) answer = {token, status, 0, false, {}};
    const millis rest = lost || late ? kCallTimeout - std::min(kCallTimeout, effect) : effect;
    events_.After(rest, [answer, reply] { reply(answer); });
  });
}

store_answer fake_store::Carry(const store_call& call) {
  if (const auto* scan = std::get_if<scan_changes>(&call.what)) return Scan(call.token, *scan);
  return Write(call.token, std::get<write_records>(call.what));
}

store_answer fake_store::Scan(uint64_t token, const scan_changes& scan) {
  store_answer answer{token, store_status::kOk, revision_, false, {}};
  for (const auto& [key, row] : rows_) {
    if (row.revision > scan.since) answer.records.push_back(row);
  }
  std::sort(answer.records.begin(), answer.records.end(),
            [](const auto& a, const auto& b) { return a.revision < b.revision; });
  return answer;
}

store_answer fake_store::Write(uint64_t token, const write_records& writes) {
  store_answer answer{token, store_status::kOk, revision_, false, {}};
  for (const auto& write : writes.writes) {
    const auto found = rows_.find(RecordKey(write.value));
    const int64_t revision = found == rows_.end() ? 0 : found->second.revision;
    if (revision == write.expected) continue;
    answer.status = store_status::kConflict;
    if (found != rows_.end()) answer.records.push_back(found->second);
  }
  if (answer.status == store_status::kConflict) return answer;
  answer.revision = ++revision_;
  for (const auto& write : writes.writes) {
    rows_[RecordKey(write.value)] = {revision_, write.value};
  }
  return answer;
}

}  // namespace eelgrass
