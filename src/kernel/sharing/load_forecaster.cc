#include "kernel/sharing/load_forecaster.h"

#include <algorithm>
#include <cmath>
#include <tuple>
#include <vector>

#include "kernel/base/log_event.h"
#include "kernel/batch/unit_order.h"
#include "kernel/placement/capacity_map.h"
#include "kernel/sharing/job_width.h"

namespace eelgrass {
namespace {

/** Least time between two forecasts. */
constexpr millis kLeastInterval{500};

/** While there is a wait, entries get a forecast this often: they use none that is 3 s old. */
constexpr millis kRepeatInterval{2000};

/** A wait is sent again when it has changed by more than this and by more than a fifth. */
constexpr int64_t kLeastChangeMs = 500;
constexpr int64_t kChangeDivisor = 5;

/** A job of large width begins when this part of the workers is free of other such work. */
constexpr size_t kWidePart = 8;

constexpr double kMilli = 1000;

/** The work of one priority in one service. Sizes are in workers, work in worker-milliseconds. */
struct priority_load {
  double running = 0;
  double waiting = 0;
  double used = 0;    // size of the running units
  double wanted = 0;  // size of the waiting units
  int64_t units = 0;  // waiting
  bool wide_waits = false;

  void Add(const priority_load& other) {
    running += other.running;
    waiting += other.waiting;
    used += other.used;
    wanted += other.wanted;
    units += other.units;
    wide_waits = wide_waits || other.wide_waits;
  }
};

/** The load of the workers of one service. */
class service_load {
 public:
  void Read(const planning_view& view, std::string_view service);
  void AddWaiting(const batch_step& step, int priority);
  queue_forecast Forecast(const batch_queue& queue, queue_inputs& inputs) const;

 private:
  priority_load Upto(int priority) const;
  void AddRun(const run_record& record, const planning_view& view, double slowdown,
              std::map<int, millis>& ends);
  bool CanRun(const batch_step& step);
  millis WideClearance(int priority) const;

  amounts largest_;
  double size_ = 0;        // in workers of the largest capacity
  double throughput_ = 0;  // the same at the workers' speeds
  std::vector<const pool_worker*> workers_;
  std::vector<std::map<int, millis>> ends_;  // of each worker: latest end of a run by priority
  std::map<int, priority_load> loads_;       // by priority
  /** Members that fit on all workers when these are free, by what a step asks for. */
  std::map<std::tuple<int64_t, int64_t, int64_t, std::string>, int64_t> fitting_;
};

void service_load::Read(const planning_view& view, std::string_view service) {
  for (const auto& [id, worker] : view.pool.all()) {
    if (worker.profile.service != service || !capacity_map::Usable(worker, view)) continue;
    workers_.push_back(&worker);
    const amounts& capacity = worker.profile.capacity;
    largest_ = {std::max(largest_.cpu_milli, capacity.cpu_milli),
                std::max(largest_.memory_mb, capacity.memory_mb),
                std::max(largest_.accelerators, capacity.accelerators)};
  }
  for (const auto* worker : workers_) {
    const worker_speed speed = view.speeds.SpeedOf(worker->profile);
    const double slowdown = speed.known && speed.slowdown > 0 ? speed.slowdown : 1;
    const double size = LargestShare(worker->profile.capacity, largest_);
    size_ += size;
    throughput_ += size / slowdown;
    ends_.emplace_back();
    for (const auto& [ref, record] : worker->runs) AddRun(record, view, slowdown, ends_.back());
  }
}

void service_load::AddRun(const run_record& record, const planning_view& view, double slowdown,
                          std::map<int, millis>& ends) {
  const batch_step* step = view.jobs.StepOf(record.unit);
  const batch_queue* queue = view.QueueOf(view.jobs.Find(record.unit.job));
  if (step == nullptr || queue == nullptr || record.phase == run_phase::kStopping) return;
  const double size = LargestShare(record.each, largest_);
  if (step->long_running) {
    // It leaves this much less to all others.
    size_ -= size;
    throughput_ -= size / slowdown;
    return;
  }
  const millis elapsed = record.began ? view.now - *record.began : millis(0);
  const millis remaining =
      record.progress.Remaining(view.now).value_or(std::max(step->estimate - elapsed, millis(0)));
  priority_load& load = loads_[queue->priority];
  load.used += size;
  load.running += size * static_cast<double>(remaining.count());
  millis& end = ends[queue->priority];
  end = std::max(end, remaining);
}

/** Whether all members of a unit fit on the workers at once; a unit that does not never starts. */
bool service_load::CanRun(const batch_step& step) {
  const amounts each = ResourcesPerTask(step);
  const auto [found, added] = fitting_.try_emplace(
      {each.cpu_milli, each.memory_mb, each.accelerators, step.required_label}, 0);
  if (added) {
    for (const auto* worker : workers_) {
      const bool labelled = step.required_label.empty() || worker->HasLabel(step.required_label);
      if (labelled) found->second += CountFitting(each, worker->profile.capacity, INT32_MAX);
    }
  }
  return found->second >= UnitSize(step);
}

void service_load::AddWaiting(const batch_step& step, int priority) {
  if (workers_.empty() || !CanRun(step)) return;
  priority_load& load = loads_[priority];
  const double size = LargestShare(ResourcesPerTask(step), largest_) * UnitSize(step);
  load.wanted += size;
  load.waiting += size * static_cast<double>(step.estimate.count());
  load.wide_waits = load.wide_waits || IsWide(step, largest_);
  ++load.units;
}

priority_load service_load::Upto(int priority) const {
  priority_load sum;
  for (const auto& [other, load] : loads_) {
    if (other <= priority) sum.Add(load);
  }
  return sum;
}

/** When enough workers are free of work that is as urgent for a unit that needs whole workers. */
millis service_load::WideClearance(int priority) const {
  std::vector<millis> clear;
  for (const auto& ends : ends_) {
    millis latest{0};
    for (const auto& [other, end] : ends) {
      if (other <= priority) latest = std::max(latest, end);
    }
    clear.push_back(latest);
  }
  if (clear.empty()) return millis(0);
  const auto enough = clear.begin() + static_cast<std::ptrdiff_t>((clear.size() - 1) / kWidePart);
  std::nth_element(clear.begin(), enough, clear.end());
  return *enough;
}

queue_forecast service_load::Forecast(const batch_queue& queue, queue_inputs& inputs) const {
  queue_forecast forecast;
  forecast.queue = queue.name;
  forecast.worker = largest_;
  const priority_load load = Upto(queue.priority);
  inputs = {std::llround(load.running), std::llround(load.waiting), load.units,
            std::llround(throughput_ * kMilli)};
  const bool crowded = load.wanted > size_ - load.used;
  // Without any capacity the wait is not known, and nobody may be rejected for it.
  if (crowded && throughput_ > 0) {
    forecast.wait_ms = std::llround((load.running + load.waiting) / throughput_);
  }
  forecast.wide_wait_ms = forecast.wait_ms;
  if (forecast.wait_ms > 0 || load.wide_waits) {
    forecast.wide_wait_ms += WideClearance(queue.priority).count();
  }
  return forecast;
}

/** Whether a job is ordered behind all others, since its end would come too late in any case. */
bool IsWorthless(const tracked_job& job, const batch_queue& queue, millis now) {
  return job.job.occurrences == 0 && now > job.accepted + Objective(job, queue) * kLateFactor;
}

/** Adds the units that wait for a start. */
void AddWaitingUnits(const tracked_job& job, const batch_queue& queue, service_load& load) {
  for (const auto& occurrence : job.occurrences) {
    for (size_t s = 0; s < occurrence.steps.size(); ++s) {
      const batch_step& step = job.job.steps[s];
      if (!occurrence.steps[s].released || step.long_running || step.fills) continue;
      for (const auto& unit : occurrence.steps[s].units) {
        if (!unit.done && unit.open_runs == 0) load.AddWaiting(step, queue.priority);
      }
    }
  }
}

}  // namespace

load_forecast load_forecaster::Forecast(const planning_view& view) {
  inputs_.clear();
  std::map<std::string, service_load, std::less<>> services;
  for (const auto& queue : view.config.queues) {
    const auto [found, added] = services.try_emplace(queue.service);
    if (added) found->second.Read(view, queue.service);
  }
  std::map<std::string, int64_t> urgent;
  std::map<std::string, std::pair<millis, int64_t>> chains;  // sum and number by queue
  for (const auto& id : view.jobs.open()) {
    const tracked_job& job = *view.jobs.Find(id);
    const batch_queue* queue = view.config.FindQueueByName(job.job.queue);
    if (queue == nullptr) continue;
    if (IsUrgent(*queue)) urgent[job.job.organisation] += AcceleratorsNeeded(job.job);
    auto& [sum, number] = chains[queue->name];
    sum += LongestChain(job);
    ++number;
    if (IsWorthless(job, *queue, view.now)) continue;
    AddWaitingUnits(job, *queue, services.at(queue->service));
  }
  load_forecast forecast;
  forecast.created_ms = view.now.count();
  for (const auto& queue : view.config.queues) {
    forecast.queues.push_back(services.at(queue.service).Forecast(queue, inputs_[queue.name]));
    const auto chain = chains.find(queue.name);
    if (chain == chains.end()) continue;
    forecast.queues.back().work_ms = chain->second.first.count() / chain->second.second;
  }
  for (const auto& [name, accelerators] : urgent) {
    if (accelerators > 0) forecast.urgent.push_back({name, accelerators});
  }
  return forecast;
}

bool load_forecaster::Changed(const load_forecast& forecast) const {
  const auto differs = [](int64_t value, int64_t sent) {
    const int64_t change = std::abs(value - sent);
    return change > kLeastChangeMs && change > sent / kChangeDivisor;
  };
  return std::any_of(forecast.queues.begin(), forecast.queues.end(), [&](const auto& queue) {
    const auto found = sent_.find(queue.queue);
    const queue_forecast sent = found == sent_.end() ? queue_forecast() : found->second;
    return differs(queue.wait_ms, sent.wait_ms) || differs(queue.wide_wait_ms, sent.wide_wait_ms);
  });
}

std::optional<load_forecast> load_forecaster::Next(const planning_view& view) {
  // Before all runs of earlier terms are known, the workers look less loaded than they are.
  if (view.least_term != 0) return std::nullopt;
  if (computed_ && view.now - *computed_ < kLeastInterval) return std::nullopt;
  computed_ = view.now;
  load_forecast forecast = Forecast(view);
  const bool waits = std::any_of(forecast.queues.begin(), forecast.queues.end(),
                                 [](const auto& queue) { return queue.wide_wait_ms > 0; });
  const bool changed = Changed(forecast);
  // At the next forecast it would be too late.
  const bool due = !sent_at_ || view.now - *sent_at_ > kRepeatInterval - kLeastInterval * 3 / 2;
  if (!changed && !(waits && due)) return std::nullopt;
  sent_at_ = view.now;
  sent_.clear();
  for (const auto& queue : forecast.queues) {
    sent_[queue.queue] = queue;
    if (queue.wide_wait_ms == 0 && !changed) continue;
    const queue_inputs& inputs = inputs_[queue.queue];
    log_event("forecast-published")
        .With("queue", queue.queue)
        .With("wait_ms", queue.wait_ms)
        .With("wide_wait_ms", queue.wide_wait_ms)
        .With("running_worker_ms", inputs.running)
        .With("waiting_worker_ms", inputs.waiting)
        .With("waiting_units", inputs.units)
        .With("milli_workers", inputs.milli_workers);
  }
  return forecast;
}

}  // namespace eelgrass
