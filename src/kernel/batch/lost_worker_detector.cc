#include "kernel/batch/lost_worker_detector.h"

#include "kernel/base/log_event.h"

namespace eelgrass {
namespace {

/** A worker without a report for this long has ended; agents report every second. */
constexpr millis kUnreportedTimeout{5000};

/**
 * A worker with runs and without a report for this long may have ended: an interval has passed
 * without a report, and delivery takes a few milliseconds.
 */
constexpr millis kSilenceTimeout{1300};

/** After a takeover agents have this long to report before their workers count as silent. */
constexpr millis kTakeoverReportTime{400};

/** Whether an agent reported on `one` after `other`; reports may arrive out of order. */
bool ReportedAfter(const pool_worker& one, const pool_worker& other) {
  return one.linked && one.agent == other.agent && one.report_sequence > other.report_sequence;
}

}  // namespace

void lost_worker_detector::BeginTerm(millis now) {
  term_began_ = now;
  listed_by_address_.clear();
  departure_detector_.Reset();
}

/**
 * Whether the stored incarnation has ended because another worker lists runs at its address after
 * the takeover. Runs exist only on an incarnation whose row is written; a row without a start time
 * may hold the address of an earlier incarnation.
 */
bool lost_worker_detector::IsReplaced(const worker_record& stored,
                                      const worker_profile& newest) const {
  if (stored.id == newest.self.id || stored.address != newest.address) return false;
  const auto known = pool_.all().find(stored.id);
  const bool elsewhere =
      known != pool_.all().end() && (known->second.profile.self.born_ms != stored.born_ms ||
                                     known->second.profile.address != stored.address);
  const bool proved = stored.born_ms != 0 && !elsewhere;
  log_event("stored-worker-replaced")
      .With("worker", stored.id)
      .With("born", stored.born_ms)
      .With("address", stored.address)
      .With("by", newest.self.id)
      .With("proved", proved ? 1 : 0);
  return proved;
}

std::vector<std::string> lost_worker_detector::ReplacedBy(const pool_worker& newest) {
  const worker_profile& profile = newest.profile;
  std::vector<std::string> replaced;
  for (const auto& [id, record] : journal_.expected()) {
    if (IsReplaced(record, profile)) replaced.push_back(id);
  }
  // Only a worker that has listed under this term can have runs known to the planner.
  std::set<std::string>& here = listed_by_address_[profile.address];
  std::erase_if(here, [&](const std::string& id) {
    const auto known = pool_.all().find(id);
    if (known == pool_.all().end() || known->second.profile.address != profile.address) return true;
    if (id == profile.self.id || ReportedAfter(known->second, newest)) return false;
    replaced.push_back(id);
    return true;
  });
  here.insert(profile.self.id);
  return replaced;
}

std::vector<std::string> lost_worker_detector::Unreported(millis now, millis confirmed) const {
  std::vector<std::string> ended;
  for (const auto& [id, worker] : pool_.all()) {
    const bool silent = !worker.linked || now - worker.reported > kUnreportedTimeout;
    if (silent && worker.runs.empty() && confirmed > worker.lease_end) ended.push_back(id);
  }
  return ended;
}

/** Workers that may have runs and have not been reported. */
std::vector<silent_worker> lost_worker_detector::SilentWorkers(millis now) const {
  std::vector<silent_worker> silent;
  if (!journal_.loaded()) return silent;
  const bool in_question = now - term_began_ > kTakeoverReportTime;
  for (const auto& [id, record] : journal_.expected()) {
    if (!in_question || pool_.all().contains(id)) continue;
    silent.push_back({{id, record.born_ms}, record.vm, term_began_});
  }
  for (const auto& [id, worker] : pool_.all()) {
    const bool silent_agent = now - worker.reported > kSilenceTimeout;
    const bool runs = !worker.runs.empty() && (silent_agent || !worker.listing);
    const bool expected = in_question && journal_.expected().contains(id);
    if (runs || expected) {
      silent.push_back({worker.profile.self, worker.profile.vm, worker.known_since});
    }
  }
  return silent;
}

std::optional<vm_listing_request> lost_worker_detector::Next(millis now) {
  return departure_detector_.Next(SilentWorkers(now), now);
}

std::vector<std::string> lost_worker_detector::On(const vm_listing& listing) {
  std::vector<std::string> ended;
  for (const auto& worker : departure_detector_.On(listing)) {
    const auto found = pool_.all().find(worker.id);
    // An incarnation that started while the list was read is not the one that was silent.
    if (found != pool_.all().end() && !(found->second.profile.self == worker)) continue;
    ended.push_back(worker.id);
  }
  if (!journal_.loaded()) ended.clear();
  return ended;
}

}  // namespace eelgrass
