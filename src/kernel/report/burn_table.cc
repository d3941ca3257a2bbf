#include "kernel/report/burn_table.h"

#include <algorithm>

namespace eelgrass {
namespace {

constexpr int64_t kMillisPerMinute = 60000;
constexpr int64_t kMinutesPerHour = 60;
constexpr int64_t kFineMinutes = 6 * kMinutesPerHour;
constexpr int64_t kKeptMinutes = 72 * kMinutesPerHour;
constexpr size_t kMaxCauses = 100;
constexpr size_t kShownCauses = 5;
constexpr int64_t kPlottedHours = 72;
constexpr double kPageRate = 14.4;  // spends 2% of a 30-day budget in an hour
constexpr double kTicketRate = 6;   // spends 5% of it in six hours

int64_t MinuteOf(millis wall) { return wall.count() / kMillisPerMinute; }

burn_counts Sum(const burn_series& series, int64_t from, int64_t to) {
  burn_counts total;
  for (auto item = series.minutes.lower_bound(from);
       item != series.minutes.end() && item->first < to; ++item) {
    total.good += item->second.good;
    total.bad += item->second.bad;
  }
  return total;
}

double Rate(const burn_counts& counts, double target) {
  const int64_t all = counts.good + counts.bad;
  if (all == 0) return 0;
  return static_cast<double>(counts.bad) / static_cast<double>(all) / (1 - target);
}

std::string AlertOf(const std::vector<burn_window>& windows) {
  const double five_minutes = windows[0].rate;
  const double hour = windows[1].rate;
  const double six_hours = windows[2].rate;
  if (hour > kPageRate && five_minutes > kPageRate) return "page";
  if (six_hours > kTicketRate && hour > kTicketRate) return "ticket";
  return {};
}

burn_line MakeLine(const burn_key& key, const burn_series& series, double target, int64_t now) {
  constexpr std::pair<const char*, int64_t> kWindows[] = {
      {"5m", 5}, {"1h", kMinutesPerHour}, {"6h", kFineMinutes}, {"3d", kKeptMinutes}};
  burn_line line;
  line.organisation = key.first;
  line.service = key.second;
  line.target = target;
  for (const auto& [name, minutes] : kWindows) {
    const burn_counts counts = Sum(series, now - minutes + 1, now + 1);
    line.windows.push_back({name, counts.good, counts.bad, Rate(counts, target)});
  }
  line.budget_left = 1 - line.windows.back().rate;
  line.alert = AlertOf(line.windows);
  line.causes.assign(series.causes.begin(), series.causes.end());
  std::sort(line.causes.begin(), line.causes.end(),
            [](const auto& a, const auto& b) { return a.second > b.second; });
  if (line.causes.size() > kShownCauses) line.causes.resize(kShownCauses);
  for (int64_t hour = kPlottedHours; hour > 0; --hour) {
    const int64_t from = now + 1 - hour * kMinutesPerHour;
    line.hourly.push_back(Rate(Sum(series, from, from + kMinutesPerHour), target));
  }
  return line;
}

}  // namespace

void burn_table::Add(const burn_sample& sample, millis wall_now) {
  burn_series& series = series_[{sample.organisation, sample.service}];
  burn_counts& counts = series.minutes[MinuteOf(wall_now)];
  ++(sample.good ? counts.good : counts.bad);
  if (sample.good) return;
  const std::string cause = sample.step + " " + sample.peer;
  const bool room = series.causes.size() < kMaxCauses || series.causes.contains(cause);
  ++series.causes[room ? cause : "other"];
}

void burn_table::Add(const burn_table& other) {
  for (const auto& [key, theirs] : other.series_) {
    burn_series& own = series_[key];
    for (const auto& [minute, counts] : theirs.minutes) {
      own.minutes[minute].good += counts.good;
      own.minutes[minute].bad += counts.bad;
    }
    for (const auto& [cause, count] : theirs.causes) own.causes[cause] += count;
  }
}

void burn_table::Compact(millis wall_now) {
  const int64_t now = MinuteOf(wall_now);
  for (auto& [key, series] : series_) {
    std::map<int64_t, burn_counts> kept;
    for (const auto& [minute, counts] : series.minutes) {
      if (minute <= now - kKeptMinutes) continue;
      const bool fine = minute > now - kFineMinutes;
      burn_counts& target = kept[fine ? minute : minute - minute % kMinutesPerHour];
      target.good += counts.good;
      target.bad += counts.bad;
    }
    series.minutes = std::move(kept);
  }
  std::erase_if(series_, [](const auto& entry) { return entry.second.minutes.empty(); });
}

burn_report MakeBurnReport(const burn_table& table, const document& doc, millis wall_now) {
  burn_report report;
  report.at_ms = wall_now.count();
  for (const auto& goal : doc.objectives) {
    for (const auto& [key, series] : table.series()) {
      const bool meant = goal.organisation.empty() || goal.organisation == key.first;
      if (!meant || goal.service != key.second) continue;
      report.lines.push_back(MakeLine(key, series, goal.target, MinuteOf(wall_now)));
    }
  }
  return report;
}

bool WithinObjective(const document& doc, const std::string& service, millis latency) {
  return std::none_of(doc.objectives.begin(), doc.objectives.end(), [&](const auto& goal) {
    return goal.service == service && goal.latency_ms > millis(0) && latency > goal.latency_ms;
  });
}

}  // namespace eelgrass
