#include "tests/world/plan_rig.h"

#include <algorithm>

#include "tests/world/batch_world.h"

namespace eelgrass {
namespace {

constexpr amounts kCapacity{32000, 131072, 8};
constexpr int kWorkersPerRack = 8;
constexpr millis kStep{100};

}  // namespace

plan_rig::plan_rig(std::string_view order, int workers, int organisations, double stretch)
    : order_(std::move(unit_order_registry::Instance().Create(order).value())), planner_(*order_) {
  for (int priority = 0; priority < 3; ++priority) {
    batch_queue queue;
    queue.name = std::to_string(priority);
    queue.service = "drying";
    queue.priority = priority;
    queue.stretch = stretch;
    queue.target_latency = millis(1000);
    config.queues.push_back(queue);
  }
  for (int i = 0; i < organisations; ++i) config.organisations.push_back({Organisation(i), {}, 0});
  for (int i = 0; i < workers; ++i) {
    pool_worker& worker = pool.Get("w" + std::to_string(i));
    worker.profile.self = {"w" + std::to_string(i), 7};
    worker.profile.service = "drying";
    worker.profile.rack = std::to_string(i / kWorkersPerRack);
    worker.profile.capacity = kCapacity;
    worker.linked = worker.listing = worker.recorded = true;
    worker.lease_end = kFarFuture;
  }
}

std::string plan_rig::Add(int organisation, std::string_view queue, millis work, int tasks) {
  batch_job job = MakeBatchJob("", queue, tasks, work, kCapacity.accelerators);
  job.organisation = Organisation(organisation);
  return Add(std::move(job));
}

std::string plan_rig::Add(batch_job job) {
  job.id = std::to_string(1000000 + ++last_job_);
  jobs.Add(job, now);
  return job.id;
}

void plan_rig::Start(const unit_start& start) {
  const batch_step& step = *jobs.StepOf(start.unit);
  unit_state& unit = *jobs.Find(start.unit);
  unit.run = ++last_run_;
  unit.open_runs = static_cast<int>(start.workers.size());
  jobs.OnBegun(start.unit);
  began_.try_emplace(start.unit.job, now);
  for (size_t member = 0; member < start.workers.size(); ++member) {
    run_record record;
    record.unit = start.unit;
    record.task = ToText(MemberOf(start.unit, step, static_cast<int>(member)));
    record.run = last_run_;
    record.each = ResourcesPerTask(step);
    record.phase = run_phase::kRunning;
    record.began = now;
    pool.Get(start.workers[member]).runs.emplace(run_ref{record.task, record.run}, record);
  }
}

void plan_rig::EndRuns() {
  std::set<unit_ref> ended;
  for (auto& [id, worker] : pool.all()) {
    worker.reported = now;
    std::erase_if(worker.runs, [&](const auto& run) {
      const bool ends = now - *run.second.began >= jobs.StepOf(run.second.unit)->estimate;
      if (ends) ended.insert(run.second.unit);
      return ends;
    });
  }
  for (const auto& unit : ended) {
    jobs.Find(unit)->open_runs = 0;
    jobs.OnDone(unit, jobs.Find(unit)->run, now);
    jobs.Complete(unit.job);
  }
}

start_plan plan_rig::Plan(bool measured) {
  for (auto& [id, worker] : pool.all()) worker.reported = now;
  jobs.Release(now, now);
  const planning_view view = View(measured);
  if (measured) usage.Update(view);
  return planner_.Plan(view);
}

void plan_rig::RunUntil(millis until) {
  for (; now < until; now += kStep) {
    EndRuns();
    for (const auto& start : Plan().starts) Start(start);
  }
}

planning_view plan_rig::View(bool measured) const {
  return {jobs,    pool, config,     evacuated_, speeds_,
          nullptr, now,  least_term, now,        measured ? &usage : nullptr};
}

millis plan_rig::Waited(std::string_view job) const {
  const auto began = began_.find(job);
  return (began == began_.end() ? now : began->second) - jobs.Find(job)->accepted;
}

}  // namespace eelgrass
