#include "kernel/report/report_core.h"

namespace eelgrass {
namespace {
constexpr millis kSnapshotInterval{30000};
constexpr millis kReadInterval{10000};
}  // namespace

report_core::report_core(std::string own_name)
    : own_name_(std::move(own_name)), document_(std::make_shared<document>()) {}

void report_core::Decide(std::span<const report_event> events, millis now, millis wall_now,
                         std::vector<report_action>& actions) {
  for (const auto& event : events) {
    if (const auto* sample = std::get_if<burn_sample>(&event)) {
      burn_sample judged = *sample;
      judged.good = judged.good && WithinObjective(*document_, judged.service, judged.latency);
      if (sample->good && !judged.good) judged.step = "slow-answer";
      own_.Add(judged, wall_now);
    } else if (const auto* wanted = std::get_if<report_wanted>(&event)) {
      actions.push_back(report_answer{wanted->caller, wanted->format, Report(wall_now)});
    } else if (const auto* listed = std::get_if<snapshot_names>(&event)) {
      for (const auto& name : listed->names) {
        if (name != own_name_) actions.push_back(read_snapshot{name});
      }
    } else if (const auto* read = std::get_if<snapshot_read>(&event)) {
      others_[read->name] = read->table;
      others_[read->name].Compact(wall_now);
    } else if (const auto* changed = std::get_if<document_changed>(&event)) {
      document_ = changed->doc;
    }
  }
  if (now >= next_snapshot_) {
    next_snapshot_ = now + kSnapshotInterval;
    own_.Compact(wall_now);
    actions.push_back(write_snapshot{own_name_, own_});
  }
  if (now < next_read_) return;
  next_read_ = now + kReadInterval;
  actions.push_back(list_snapshots{});
}

burn_report report_core::Report(millis wall_now) const {
  burn_table all = own_;
  for (const auto& [name, table] : others_) all.Add(table);
  return MakeBurnReport(all, *document_, wall_now);
}

}  // namespace eelgrass
