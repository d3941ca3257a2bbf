#include "kernel/jobs/submission_rules.h"

#include <algorithm>
#include <map>

namespace eelgrass {
namespace {

constexpr int kMaxTasks = 128;

auto Refusal(std::string_view detail) {
  return Fail(error_kind::kInvalid, "check-job", "", detail);
}

}  // namespace

bool MayBorrow(const job_class& kind) {
  if (kind.idempotent) return true;
  return kind.checkpoint_ms > millis(0) && kind.checkpoint_ms <= kUrgentCheckpoint;
}

submission_rules::submission_rules(std::shared_ptr<const document> doc)
    : document_(std::move(doc)), workers_(DeclaredWorkers(*document_)) {
  ledger_.Update(*document_, workers_,
                 [](std::string_view, std::string_view) { return resources{}; });
}

int submission_rules::MostTasks(const gang_shape& shape, std::string_view guarantee_owner) const {
  std::map<std::string, int, std::less<>> groups;
  int most = 0;
  for (const auto& worker : workers_) {
    const resources available =
        guarantee_owner.empty() ? worker.capacity : ledger_.Share(guarantee_owner, worker.id);
    const available_worker place{
        worker.id, worker.rack, worker.domain, worker.region, available, worker.capacity, 0};
    int& group = groups[std::string(GroupOf(place, shape.within))];
    group += CountFitting(shape.each, available, shape.tasks);
    most = std::max(most, group);
  }
  return std::min(most, shape.tasks);
}

result<void> submission_rules::Check(const job_spec& spec) const {
  if (spec.tasks < 1 || spec.tasks > kMaxTasks) {
    return Refusal("tasks must be from 1 to " + std::to_string(kMaxTasks));
  }
  if (!spec.per_task.valid() || spec.per_task.empty()) {
    return Refusal("per_task must request accelerators, cores or memory");
  }
  const job_class* kind = document_->FindJobClass(spec.job_class);
  if (kind == nullptr) return Refusal("no job class '" + spec.job_class + "'");
  if (workers_.empty()) return Ok();
  const gang_shape shape{spec.tasks, spec.per_task, spec.within};
  const std::string within = " within one " + std::string(AdjacencyName(spec.within));
  const int fitting = MostTasks(shape, {});
  if (fitting < spec.tasks) {
    return Refusal("can never run: at most " + std::to_string(fitting) + " such tasks fit" +
                   within + ", " + std::to_string(spec.tasks) + " are requested");
  }
  if (MayBorrow(*kind)) return Ok();
  const int guaranteed = MostTasks(shape, spec.organisation);
  if (guaranteed >= spec.tasks) return Ok();
  return Refusal("can never run: jobs of class " + kind->name +
                 " must not run twice and cannot write a checkpoint within " +
                 std::to_string(kUrgentCheckpoint.count()) +
                 " ms, so they run within the guarantee only, where at most " +
                 std::to_string(guaranteed) + " such tasks fit" + within);
}

}  // namespace eelgrass
