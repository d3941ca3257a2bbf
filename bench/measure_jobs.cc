/** \file
 * Prints completion, fragmentation, reclaim and domain work of the policies, in one run.
 */
#include <cstdio>
#include <fstream>
#include <iostream>
#include <sstream>

#include "bench/job_trial.h"
#include "kernel/base/settings.h"
#include "kernel/encoding/document_json.h"

namespace eelgrass {
namespace {

/** One combination of policies. */
struct policy {
  const char* name;
  const char* ordering;
  const char* placement;
  bool true_times;
};

constexpr policy kPolicies[] = {{"fifo+first_fit", "fifo", "first_fit", false},
                                {"fair_share+first_fit", "fair_share", "first_fit", false},
                                {"fair_share+best_fit", "fair_share", "best_fit", false},
                                {"  with true run times", "fair_share", "best_fit", true}};

document ReadDocument(const std::string& file) {
  std::ifstream stream(file);
  std::ostringstream text;
  text << stream.rdbuf();
  return ParseDocument(text.str()).value();
}

void Measure(const std::string& name, const document& doc, int jobs, int seeds, double load,
             bool domain_out) {
  std::printf("%s, load %.2f, %d jobs, %d seeds%s (medians, seconds)\n", name.c_str(), load, jobs,
              seeds, domain_out ? ", first domain out for a third of the time" : "");
  std::printf("  %-24s %9s %9s %9s %9s %9s %7s %8s %7s %6s %5s\n", "policy", "mean", "p50", "p95",
              "slowdown", "largest", "frag %", "reclaim", "domain", "evict", "bad");
  double baseline = 0;
  for (const auto& chosen : kPolicies) {
    std::vector<double> columns[9];
    int violations = 0;
    for (int seed = 1; seed <= seeds; ++seed) {
      trial_options options;
      options.seed = static_cast<uint64_t>(seed);
      options.ordering = chosen.ordering;
      options.placement = chosen.placement;
      options.true_times = chosen.true_times;
      options.load = load;
      options.jobs = jobs;
      options.domain_out = domain_out;
      const trial_result r = RunTrial(doc, options);
      const double values[] = {
          r.mean_completion, r.p50_completion, r.p95_completion,
          r.mean_slowdown,   r.largest_wait,   r.fragmentation * 100,
          r.mean_reclaim,    r.domain_work,    static_cast<double>(r.evictions)};
      for (size_t i = 0; i < std::size(values); ++i) columns[i].push_back(values[i]);
      violations += r.violations;
    }
    double m[9];
    for (size_t i = 0; i < std::size(m); ++i) m[i] = Median(columns[i]);
    if (baseline == 0) baseline = m[0];
    std::printf("  %-24s %9.0f %9.0f %9.0f %9.2f %9.0f %7.2f %8.2f %7.3f %6.0f %5d  x%.2f\n",
                chosen.name, m[0], m[1], m[2], m[3], m[4], m[5], m[6], m[7], m[8], violations,
                m[0] / baseline);
    std::fflush(stdout);
  }
}

}  // namespace
}  // namespace eelgrass

int main(int argc, char** argv) {
  using namespace eelgrass;  // NOLINT(google-build-using-namespace)
  const std::vector<setting_spec> specs = {
      IntSetting("seeds", 20, 1, 1000, "seeds of each row"),
      IntSetting("target-seeds", 3, 0, 1000, "seeds of each row at the target's size")};
  int exit_code = 0;
  const std::span<const char* const> arguments(argv, static_cast<size_t>(argc));
  const auto values = ParseOrExplain(arguments, specs, "Measures job policies.", exit_code);
  if (!values) return exit_code;
  const int seeds = static_cast<int>(values->number("seeds"));
  for (const char* name : {"charqui", "sabzrang"}) {
    const document doc = ReadDocument(std::string("examples/") + name + ".json");
    for (const double load : {0.7, 0.95, 1.3}) Measure(name, doc, 400, seeds, load, false);
    Measure(name, doc, 400, seeds, 0.95, true);
  }
  const int target_seeds = static_cast<int>(values->number("target-seeds"));
  if (target_seeds == 0) return 0;
  const document target = ReadDocument("examples/target.json");
  Measure("target", target, 1100, target_seeds, 0.95, false);
  return 0;
}
