#include "kernel/batch/open_starts.h"

#include <algorithm>

#include "kernel/base/log_event.h"

namespace eelgrass {
namespace {

/** A start that waits for longer than this before it is sent is told anew. */
constexpr millis kToldAnew{2000};

open_start* Find(worker_starts& known, const task_ref& task, int64_t run, int64_t process) {
  const auto found =
      std::find_if(known.starts.begin(), known.starts.end(), [&](const open_start& start) {
        return start.run == run && start.process == process && ToText(start.task) == ToText(task);
      });
  return found == known.starts.end() ? nullptr : &*found;
}

bool Is(const open_start& start, const run_ref& run) {
  return start.run == run.run && ToText(start.task) == run.task;
}

millis Left(const open_start& start, millis now) {
  return std::min(start.until - now, kLongestOpen);
}

void LogOpen(std::string_view event, std::string_view worker, const open_start& start) {
  log_event(event)
      .With("worker", worker)
      .With("task", ToText(start.task))
      .With("run", start.run)
      .With("until", start.until.count());
}

}  // namespace

size_t open_starts::count() const {
  size_t count = 0;
  for (const auto& entry : workers_) count += entry.second.starts.size();
  return count;
}

int64_t open_starts::ProcessOf(std::string_view agent) const {
  const auto found = processes_.find(agent);
  return found == processes_.end() ? 0 : found->second;
}

worker_starts& open_starts::Get(std::string_view id, std::string_view address,
                                std::string_view vm) {
  worker_starts& known = workers_[std::string(id)];
  if (!address.empty()) known.address = address;
  if (!vm.empty()) known.vm = vm;
  return known;
}

void open_starts::NoteSettled(std::string_view worker, const open_start& start) {
  if (start.notice != 0 || start.told) {
    settled_[{std::string(worker), start.process}].push_back({ToText(start.task), start.run});
  }
}

void open_starts::OnAgentConnected(std::string_view agent, int64_t process, millis now) {
  int64_t& present = processes_[std::string(agent)];
  if (present == process) return;
  present = process;
  for (auto& [id, known] : workers_) {
    if (known.agent != agent) continue;
    for (auto& start : known.starts) {
      if (start.process == process) continue;
      start.told = start.told || start.stated;
      start.stated = false;
      if (start.ordered) start.settled_after = now + kLatestExecution;
    }
  }
}

void open_starts::OnAgentDisconnected(std::string_view agent) {
  for (auto& [id, known] : workers_) {
    if (known.agent != agent) continue;
    for (auto& start : known.starts) {
      start.told = start.told || start.stated;
      start.stated = false;
    }
  }
}

/** Replaces what the agent's process has stated before. */
void open_starts::State(std::string_view id, worker_starts& known, int64_t process,
                        std::span<const unanswered_start> starts, millis now) {
  for (auto& start : known.starts) start.stated = start.stated && start.process != process;
  for (const auto& stated : starts) {
    task_ref task;
    if (!ParseTask(stated.task, task)) continue;
    open_start* start = Find(known, task, stated.run, process);
    if (start == nullptr) {
      known.starts.push_back({task, stated.run, process});
      start = &known.starts.back();
    }
    start->stated = true;
    start->until = std::max(start->until, now + millis(stated.left_ms));
    known.since.try_emplace(ToText(task), now);
  }
  std::erase_if(known.starts, [&](const open_start& start) {
    if (start.process != process || start.stated || start.told || start.ordered) return false;
    NoteSettled(id, start);
    return true;
  });
}

void open_starts::Report(std::string_view agent, const worker_profile& worker,
                         std::span<const unanswered_start> starts, millis now) {
  if (starts.empty() && !workers_.contains(worker.self.id)) return;
  worker_starts& known = Get(worker.self.id, worker.address, worker.vm);
  known.agent = agent;
  State(worker.self.id, known, ProcessOf(agent), starts, now);
}

/**
 * Settles the starts of an agent's process that are not among its unanswered ones. The others are
 * open for as long as it states.
 */
void open_starts::SettleAt(std::string_view id, worker_starts& known, int64_t process,
                           std::span<const unanswered_start> starts, const worker_report* lists,
                           millis now) {
  const auto listed = [&](const run_ref& run) {
    return lists != nullptr && (Contains(lists->running, run) || Contains(lists->ended, run) ||
                                Contains(lists->refused, run));
  };
  std::erase_if(known.starts, [&](open_start& start) {
    const run_ref run{ToText(start.task), start.run};
    const bool has_ended = start.settled_after > millis(0);
    const bool answers = start.ordered ? start.process == process || has_ended
                                       : start.process == process && process != 0;
    if (!answers || (start.ordered && !listed(run))) return false;
    start.ordered = false;
    const auto stated = std::find_if(starts.begin(), starts.end(), [&](const auto& unanswered) {
      return unanswered.run == run.run && unanswered.task == run.task;
    });
    if (stated != starts.end()) {
      start.told = start.settled_after > now;
      start.until = std::max(start.settled_after, now + millis(stated->left_ms));
      return false;
    }
    start.until = start.settled_after;
    if (start.until > now) {
      start.told = true;
      return false;
    }
    NoteSettled(id, start);
    return true;
  });
}

void open_starts::Settle(std::string_view agent, const worker_report& report, millis now) {
  const auto known = workers_.find(report.worker.self.id);
  if (known == workers_.end()) return;
  SettleAt(known->first, known->second, ProcessOf(agent), report.unanswered, &report, now);
}

void open_starts::OnStatement(std::string_view agent, const open_starts_notice& statement,
                              millis now) {
  const int64_t process = ProcessOf(agent);
  for (const auto& stated : statement.workers) {
    worker_starts& known = Get(stated.worker, stated.address, stated.vm);
    if (known.agent.empty()) known.agent = agent;
    State(stated.worker, known, process, stated.starts, now);
  }
  for (auto& [id, known] : workers_) {
    if (known.agent != agent) continue;
    const auto stated =
        std::find_if(statement.workers.begin(), statement.workers.end(),
                     [&id = id](const worker_open_starts& one) { return one.worker == id; });
    std::span<const unanswered_start> starts;
    if (stated != statement.workers.end()) starts = stated->starts;
    SettleAt(id, known, process, starts, nullptr, now);
  }
}

void open_starts::Learn(const open_starts_notice& notice, millis now) {
  for (const auto& stated : notice.workers) {
    for (const auto& told : stated.starts) {
      task_ref task;
      const millis left = std::min(millis(told.left_ms), kLongestOpen);
      if (left <= millis(0) || !ParseTask(told.task, task)) continue;
      worker_starts& known = workers_[stated.worker];
      if (known.address.empty()) known.address = stated.address;
      if (known.vm.empty()) known.vm = stated.vm;
      if (known.agent.empty()) known.agent = stated.agent;
      open_start* start = Find(known, task, told.run, stated.agent_process);
      const bool is_new = start == nullptr;
      if (is_new) {
        known.starts.push_back({task, told.run, stated.agent_process});
        start = &known.starts.back();
      }
      start->told = true;
      start->until = std::max(start->until, now + left);
      // The news of a planner that goes on are too many to be logged.
      if (is_new && notice.number == 0) LogOpen("open-start-told", stated.worker, *start);
      known.since.try_emplace(ToText(task), now);
    }
  }
  for (const auto& settled : notice.settled) {
    const auto known = workers_.find(settled.worker);
    if (known == workers_.end()) continue;
    std::erase_if(known->second.starts, [&](const open_start& start) {
      return !start.stated && !start.ordered && start.process == settled.agent_process &&
             Contains(settled.runs, {ToText(start.task), start.run});
    });
  }
}

void open_starts::LearnFromAgent(std::string_view agent, open_starts_notice statement, millis now) {
  for (auto& stated : statement.workers) {
    stated.agent = agent;
    stated.agent_process = ProcessOf(agent);
  }
  Learn(statement, now);
}

open_starts_notice open_starts::Notice(millis now) const {
  open_starts_notice notice;
  for (const auto& [id, known] : workers_) {
    std::map<int64_t, worker_open_starts> stated;  // by the agent's process
    for (const auto& start : known.starts) {
      if (start.until <= now) continue;
      worker_open_starts& of = stated[start.process];
      of.starts.push_back({ToText(start.task), start.run, Left(start, now).count()});
    }
    for (auto& [process, starts] : stated) {
      starts.worker = id;
      starts.address = known.address;
      starts.vm = known.vm;
      starts.agent = known.agent;
      starts.agent_process = process;
      notice.workers.push_back(std::move(starts));
    }
  }
  return notice;
}

void open_starts::Order(const worker_profile& worker, std::string_view agent, const run_ref& run,
                        millis now) {
  open_start start;
  if (!ParseTask(run.task, start.task)) return;
  start.run = run.run;
  start.process = ProcessOf(agent);
  start.until = kFarFuture;
  start.ordered = true;
  start.told_at = now;
  worker_starts& known = Get(worker.self.id, worker.address, worker.vm);
  known.agent = agent;
  known.since.try_emplace(ToText(start.task), now);
  known.starts.push_back(std::move(start));
}

bool open_starts::Confirm(const worker_profile& worker, std::string_view agent, const run_ref& run,
                          millis now) {
  const auto at = workers_.find(worker.self.id);
  if (at != workers_.end()) {
    for (auto& start : at->second.starts) {
      if (!start.ordered || !Is(start, run)) continue;
      if (now - start.told_at < kToldAnew) return start.known;
      start.told_at = now;
      start.known = false;
      start.notice = 0;
      return false;
    }
  }
  Order(worker, agent, run, now);
  return false;
}

void open_starts::OnClosed(const worker_profile& worker, const run_ref& run, bool sent,
                           millis until) {
  const auto at = workers_.find(worker.self.id);
  if (at == workers_.end()) return;
  std::erase_if(at->second.starts, [&](open_start& start) {
    if (!start.ordered || !Is(start, run)) return false;
    if (!sent) {
      NoteSettled(worker.self.id, start);
      return true;
    }
    start.ordered = false;
    start.told = true;
    start.until = std::max(until, start.settled_after);
    LogOpen("start-assumed-open", worker.self.id, start);
    return false;
  });
}

void open_starts::OnTermEnded(millis now) {
  settled_.clear();
  for (auto& [id, known] : workers_) {
    for (auto& start : known.starts) {
      start.notice = 0;
      if (!start.ordered) continue;
      start.ordered = false;
      start.told = true;
      start.until = now + kLongestOpen;
    }
  }
}

bool open_starts::HasNews() const {
  return std::any_of(workers_.begin(), workers_.end(), [](const auto& entry) {
    const std::vector<open_start>& starts = entry.second.starts;
    return std::any_of(starts.begin(), starts.end(),
                       [](const open_start& start) { return start.ordered && start.notice == 0; });
  });
}

bool open_starts::HasUnknown() const {
  return std::any_of(workers_.begin(), workers_.end(),
                     [this](const auto& entry) { return HasUnknown(entry.first); });
}

bool open_starts::HasUnknown(std::string_view worker) const {
  const auto at = workers_.find(worker);
  return at != workers_.end() &&
         std::any_of(at->second.starts.begin(), at->second.starts.end(),
                     [](const open_start& start) { return start.ordered && !start.known; });
}

open_starts_notice open_starts::TakeNews(int64_t number, millis now) {
  open_starts_notice news;
  for (auto& [id, known] : workers_) {
    std::map<int64_t, worker_open_starts> added;  // by the agent's process
    for (auto& start : known.starts) {
      if (!start.ordered || start.notice != 0) continue;
      start.notice = number;
      added[start.process].starts.push_back(
          {ToText(start.task), start.run, Left(start, now).count()});
    }
    for (auto& [process, starts] : added) {
      starts.worker = id;
      starts.address = known.address;
      starts.vm = known.vm;
      starts.agent = known.agent;
      starts.agent_process = process;
      news.workers.push_back(std::move(starts));
    }
  }
  for (auto& [at, runs] : settled_) {
    news.settled.push_back({at.first, std::move(runs), at.second});
  }
  settled_.clear();
  if (!news.workers.empty()) news.number = number;
  return news;
}

void open_starts::OnReceived(int64_t number) {
  for (auto& [id, known] : workers_) {
    for (auto& start : known.starts) start.known = start.known || start.notice == number;
  }
}

void open_starts::Repeat(int64_t number) {
  for (auto& [id, known] : workers_) {
    for (auto& start : known.starts) {
      if (start.notice == number && !start.known) start.notice = 0;
    }
  }
}

void open_starts::OnStored(std::string_view worker, std::span<const run_ref> runs) {
  const auto at = workers_.find(worker);
  if (at == workers_.end()) return;
  for (auto& start : at->second.starts) {
    start.known = start.known || Contains(runs, {ToText(start.task), start.run});
  }
}

void open_starts::OnListed(const worker_profile& worker) {
  std::erase_if(workers_, [&](const auto& entry) {
    const auto& [id, other] = entry;
    if (id == worker.self.id) return false;
    const bool replaced =
        (!worker.vm.empty() && other.vm == worker.vm) || other.address == worker.address;
    if (!replaced) return false;
    for (const auto& start : other.starts) {
      LogOpen("open-start-replaced", id, start);
      NoteSettled(id, start);
    }
    return true;
  });
}

std::vector<task_at_worker> open_starts::Of(const unit_ref& unit, const batch_step& step,
                                            millis now) const {
  std::vector<task_at_worker> open;
  for (const auto& [id, known] : workers_) {
    for (const auto& start : known.starts) {
      const bool same_job = start.task.job == unit.job;
      if (!same_job || start.until <= now || !(UnitOf(start.task, step) == unit)) continue;
      open.push_back({start.task, id, known.since.at(ToText(start.task))});
    }
  }
  return open;
}

bool open_starts::IsOpen(std::string_view worker, std::string_view task, millis now) const {
  const auto at = workers_.find(worker);
  return at != workers_.end() &&
         std::any_of(at->second.starts.begin(), at->second.starts.end(), [&](const auto& start) {
           return start.until > now && ToText(start.task) == task;
         });
}

void open_starts::Expire(millis now) {
  for (auto& entry : workers_) {
    worker_starts& known = entry.second;
    const size_t over = std::erase_if(known.starts, [&](const open_start& start) {
      if (start.until > now) return false;
      LogOpen("open-start-over", entry.first, start);
      return true;
    });
    if (over == 0 && known.since.size() <= known.starts.size()) continue;
    std::erase_if(known.since, [&known](const auto& task) {
      return std::none_of(known.starts.begin(), known.starts.end(), [&](const open_start& start) {
        return ToText(start.task) == task.first;
      });
    });
  }
  std::erase_if(workers_, [](const auto& entry) { return entry.second.starts.empty(); });
}

}  // namespace eelgrass
