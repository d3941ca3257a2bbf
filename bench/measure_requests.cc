/** \file
 * Prints how request policies fare on the virtual clock, in one run.
 */
#include <algorithm>
#include <cstdio>

#include "bench/job_trial.h"
#include "kernel/base/settings.h"
#include "tests/world/request_world.h"

namespace eelgrass {
namespace {

/** Medians over the seeds of one row. */
struct row {
  std::vector<double> goodput;  // completed within the deadline, of the capacity
  std::vector<double> p50;
  std::vector<double> p99;
  std::vector<double> refused_p99;  // how long callers wait to be refused
  int violations = 0;
  int unknown = 0;
};

double Quantile(std::vector<double> values, double q) {
  if (values.empty()) return 0;
  std::sort(values.begin(), values.end());
  return values[static_cast<size_t>(q * static_cast<double>(values.size() - 1))];
}

void Collect(const request_world& world, double capacity, millis from, millis to, row& out) {
  std::vector<double> served;
  std::vector<double> refused;
  for (const auto& call : world.calls()) {
    if (!call.done || call.sent < from || call.sent >= to) continue;
    const auto latency = static_cast<double>(call.latency().count());
    (call.told.outcome == "completed" ? served : refused).push_back(latency);
  }
  const double seconds = static_cast<double>((to - from).count()) / 1000;
  out.goodput.push_back(static_cast<double>(served.size()) / (capacity * seconds));
  out.p50.push_back(Quantile(served, 0.5));
  out.p99.push_back(Quantile(served, 0.99));
  out.refused_p99.push_back(Quantile(refused, 0.99));
  out.violations += world.Findings().total();
  out.unknown += world.CountOutcome("unknown");
}

void Print(const char* name, const row& r) {
  std::printf("  %-32s %9.3f %9.0f %9.0f %12.0f %8d %5d\n", name, Median(r.goodput), Median(r.p50),
              Median(r.p99), Median(r.refused_p99), r.unknown, r.violations);
  std::fflush(stdout);
}

void Header(const char* title) {
  std::printf("%s\n  %-32s %9s %9s %9s %12s %8s %5s\n", title, "policy", "goodput", "p50 ms",
              "p99 ms", "refusal p99", "unknown", "bad");
}

/** Load steps from 0.15 to 1.75 times the capacity and back, as in puma-plus's measurement. */
void StepLoad(int seeds) {
  Header("step load 0.15 -> 1.75 -> 0.15 of capacity, 2 s deadline; figures of the step");
  for (const char* admission : {"bounded_queue", "predicted_wait"}) {
    row out;
    for (int seed = 1; seed <= seeds; ++seed) {
      request_world_options options;
      options.seed = static_cast<uint64_t>(seed);
      options.admission = admission;
      request_world world(options);
      const double capacity = 10 * 8 / 0.025;
      world.SetServiceTime(millis(15), millis(35));
      world.SetDeadline(millis(2000));
      world.Load(capacity * 0.15, millis(5000), {1, 1, 1}, 100, 0);
      world.Run(millis(5000));
      const millis step = world.events().now();
      world.Load(capacity * 1.75, millis(10000), {1, 1, 1}, 100, 0);
      world.Run(millis(10000));
      const millis back = world.events().now();
      world.Load(capacity * 0.15, millis(3000), {1, 1, 1}, 100, 0);
      world.Run(millis(12000));
      Collect(world, capacity, step, back, out);
    }
    Print(admission, out);
  }
}

void Routing(int seeds) {
  Header("0.7 of capacity, one upstream five times slower");
  for (const char* routing : {"round_robin", "least_loaded"}) {
    row out;
    for (int seed = 1; seed <= seeds; ++seed) {
      request_world_options options;
      options.seed = static_cast<uint64_t>(seed);
      options.routing = routing;
      request_world world(options);
      const double capacity = 10 * 8 / 0.020;
      world.SetUpstream("u1", false, false, millis(80));
      const millis from = world.events().now();
      world.Load(capacity * 0.7, millis(8000), {1, 1, 1}, 100, 0);
      world.Run(millis(15000));
      Collect(world, capacity, from, from + millis(8000), out);
    }
    Print(routing, out);
  }
}

void Keyed(int seeds) {
  Header("0.5 of capacity, POSTs");
  for (const int keyed : {0, 100}) {
    row out;
    for (int seed = 1; seed <= seeds; ++seed) {
      request_world_options options;
      options.seed = static_cast<uint64_t>(seed);
      request_world world(options);
      const double capacity = 10 * 8 / 0.020;
      const millis from = world.events().now();
      world.Load(capacity * 0.5, millis(8000), {1, 1, 1}, 0, keyed);
      world.Run(millis(15000));
      Collect(world, capacity, from, from + millis(8000), out);
    }
    Print(keyed == 0 ? "without a key" : "with a key (claims at 2 agents)", out);
  }
}

}  // namespace
}  // namespace eelgrass

int main(int argc, char** argv) {
  using namespace eelgrass;  // NOLINT(google-build-using-namespace)
  const std::vector<setting_spec> specs = {IntSetting("seeds", 5, 1, 1000, "seeds of each row")};
  int exit_code = 0;
  const std::span<const char* const> arguments(argv, static_cast<size_t>(argc));
  const auto values = ParseOrExplain(arguments, specs, "Measures request policies.", exit_code);
  if (!values) return exit_code;
  const int seeds = static_cast<int>(values->number("seeds"));
  StepLoad(seeds);
  Routing(seeds);
  Keyed(seeds);
  return 0;
}
