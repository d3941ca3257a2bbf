#include "kernel/batch/open_starts.h"

#include <algorithm>

#include "kernel/base/log_event.h"
#include "kernel/batch/worker_calls.h"

namespace eelgrass {
namespace {

/** Limit for what another entry states: an assumed start is open for a lease more than a sent one.
 */
constexpr millis kLongestOpen = kLatestExecution * 2;

}  // namespace

open_starts::worker_starts& open_starts::Get(std::string_view id, std::string_view address,
                                             std::string_view vm) {
  worker_starts& known = workers_[std::string(id)];
  if (!address.empty()) known.address = address;
  if (!vm.empty()) known.vm = vm;
  return known;
}

void open_starts::Report(std::string_view agent, const worker_profile& worker,
                         std::span<const unanswered_start> starts, millis now) {
  if (starts.empty() && !workers_.contains(worker.self.id)) return;
  worker_starts& known = Get(worker.self.id, worker.address, worker.vm);
  known.agent = agent;
  std::erase_if(known.starts, [](const open_start& start) { return start.stated; });
  for (const auto& start : starts) {
    task_ref task;
    if (!ParseTask(start.task, task)) continue;
    known.starts.push_back({task, start.run, now + millis(start.left_ms), true});
    known.since.try_emplace(ToText(task), now);
  }
}

void open_starts::Learn(const open_starts_notice& notice, millis now) {
  for (const auto& stated : notice.workers) {
    for (const auto& start : stated.starts) {
      task_ref task;
      const millis left = std::min(millis(start.left_ms), kLongestOpen);
      if (left <= millis(0) || !ParseTask(start.task, task)) continue;
      worker_starts& known = workers_[stated.worker];
      if (known.address.empty()) known.address = stated.address;
      if (known.vm.empty()) known.vm = stated.vm;
      const auto same =
          std::find_if(known.starts.begin(), known.starts.end(), [&](const open_start& other) {
            return !other.stated && other.run == start.run && ToText(other.task) == start.task;
          });
      if (same == known.starts.end()) {
        known.starts.push_back({task, start.run, now + left, false});
      } else {
        same->until = std::max(same->until, now + left);
      }
      known.since.try_emplace(ToText(task), now);
    }
  }
}

open_starts_notice open_starts::Notice(millis now) const {
  open_starts_notice notice;
  for (const auto& [id, known] : workers_) {
    worker_open_starts stated{id, known.address, known.vm, {}};
    for (const auto& start : known.starts) {
      if (start.until <= now) continue;
      stated.starts.push_back({ToText(start.task), start.run, (start.until - now).count()});
    }
    if (!stated.starts.empty()) notice.workers.push_back(std::move(stated));
  }
  return notice;
}

void open_starts::OnAgentDisconnected(std::string_view agent) {
  for (auto& [id, known] : workers_) {
    if (known.agent != agent) continue;
    for (auto& start : known.starts) start.stated = false;
  }
}

void open_starts::Assume(const worker_profile& worker, const run_ref& run, millis until,
                         millis now) {
  task_ref ref;
  if (!ParseTask(run.task, ref)) return;
  worker_starts& known = Get(worker.self.id, worker.address, worker.vm);
  known.starts.push_back({ref, run.run, until, false});
  known.since.try_emplace(ToText(ref), now);
  log_event("start-assumed-open")
      .With("task", run.task)
      .With("run", run.run)
      .With("worker", worker.self.id)
      .With("born", worker.self.born_ms)
      .With("until", until.count());
}

void open_starts::OnListed(const worker_profile& worker) {
  std::erase_if(workers_, [&](const auto& entry) {
    const auto& [id, other] = entry;
    if (id == worker.self.id) return false;
    return (!worker.vm.empty() && other.vm == worker.vm) || other.address == worker.address;
  });
}

std::vector<task_at_worker> open_starts::Of(const unit_ref& unit, const batch_step& step,
                                            millis now) const {
  std::vector<task_at_worker> open;
  for (const auto& [id, known] : workers_) {
    for (const auto& start : known.starts) {
      if (start.until <= now || !(UnitOf(start.task, step) == unit)) continue;
      open.push_back({start.task, id, known.since.at(ToText(start.task))});
    }
  }
  return open;
}

void open_starts::Expire(millis now) {
  for (auto& entry : workers_) {
    worker_starts& known = entry.second;
    std::erase_if(known.starts, [now](const open_start& start) { return start.until <= now; });
    std::erase_if(known.since, [&known](const auto& task) {
      return std::none_of(known.starts.begin(), known.starts.end(), [&](const open_start& start) {
        return ToText(start.task) == task.first;
      });
    });
  }
  std::erase_if(workers_, [](const auto& entry) { return entry.second.starts.empty(); });
}

}  // namespace eelgrass
