/** \file
 * Runs all scenarios of the given Lua files and counts them.
 */
#include <iostream>
#include <span>

#include "kernel/base/log_event.h"
#include "kernel/base/settings.h"
#include "tests/scenario/scenario_runner.h"

int main(int argc, char** argv) {
  using namespace eelgrass;  // NOLINT(google-build-using-namespace)
  const std::vector<setting_spec> specs = {
      TextSetting("only", "", "run scenarios whose name contains this"),
      IntSetting("first-seed", 1, 1, 1000000000, "first seed"),
      IntSetting("seeds", 0, 0, 1000000, "seeds of each scenario; 0: what the file says")};
  int exit_code = 0;
  const std::span<const char* const> arguments(argv, static_cast<size_t>(argc));
  const auto values = ParseOrExplain(arguments, specs, "Runs scenarios in Lua.", exit_code);
  if (!values) return exit_code;
  int passed = 0;
  int failed = 0;
  for (const auto& file : values->words()) {
    const auto results = RunScenarioFile(file, values->text("only"),
                                         static_cast<uint64_t>(values->number("first-seed")),
                                         static_cast<int>(values->number("seeds")));
    for (const auto& result : results) {
      ++(result.passed ? passed : failed);
      if (result.passed) continue;
      std::cout << "FAILED " << file << " '" << result.name << "' seed " << result.seed << "\n  "
                << result.problem << "\n";
    }
  }
  std::cout << "scenarios: " << passed << " passed, " << failed << " failed\n";
  return failed == 0 ? 0 : 1;
}
