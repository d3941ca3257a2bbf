/** \file
 * The programs for batch jobs on the users' platform: "eelgrass_batch entry" and
 * "eelgrass_batch agent".
 */
#include <cstdlib>
#include <iostream>
#include <memory>
#include <span>
#include <string_view>

#include "daemons/node/batch_agent.h"
#include "daemons/node/batch_entry.h"
#include "kernel/base/log_event.h"
#include "kernel/base/system_clock.h"

namespace {

constexpr int kExitUsage = 2;
constexpr int kExitStartFailed = 1;

constexpr std::string_view kUsage =
    "eelgrass_batch ROLE\n"
    "  entry   accepts batch jobs and plans them\n"
    "  agent   runs next to a worker and executes the plan there\n"
    "The deployment's settings are read from the file named by the platform.\n";

template <typename Node>
int RunNode(Node& node, const eelgrass::process_signals& signals) {
  const auto started = node.Start();
  if (!started) {
    std::cerr << eelgrass::ToString(started.error()) << "\n";
    return kExitStartFailed;
  }
  return node.Run(signals);
}

int RunRole(std::string_view role, const eelgrass::deployment& place,
            const eelgrass::deployment_file& settings, const eelgrass::process_signals& signals) {
  const eelgrass::system_clock time;
  if (role == "entry") {
    eelgrass::batch_entry entry(place, time);
    return RunNode(entry, signals);
  }
  eelgrass::batch_agent agent(place, settings, time);
  return RunNode(agent, signals);
}

}  // namespace

int main(int argc, char** argv) {
  const eelgrass::process_signals signals;
  const std::span<char*> arguments(argv, static_cast<size_t>(argc));
  const std::string_view role = argc == 2 ? arguments[1] : "";
  if (role == "--help" || role == "-h") {
    std::cout << kUsage;
    return 0;
  }
  if (role == "--version") {
    std::cout << "eelgrass_batch " << EELGRASS_VERSION << "\n";
    return 0;
  }
  if (role != "entry" && role != "agent") {
    std::cerr << kUsage;
    return kExitUsage;
  }
  eelgrass::StartLoggingToOutput(arguments[0]);
  const auto source = eelgrass::deployment_registry::Instance().Create("platform");
  if (!source) {
    std::cerr << eelgrass::ToString(source.error()) << "\n";
    return kExitStartFailed;
  }
  const std::string variable(source.value()->path_variable());
  const char* path = std::getenv(variable.c_str());
  if (path == nullptr) {
    std::cerr << "the environment variable " << variable
              << " must name a settings file but is not set\n";
    return kExitUsage;
  }
  const eelgrass::deployment_file settings(*source.value(), path);
  const auto place = settings.Load();
  if (!place) {
    std::cerr << eelgrass::ToString(place.error()) << "\n";
    return kExitUsage;
  }
  const int exit_code = RunRole(role, place.value(), settings, signals);
  eelgrass::StopLoggingToOutput();
  return exit_code;
}
