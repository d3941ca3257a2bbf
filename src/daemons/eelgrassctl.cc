/** \file
 * The command-line tool for operators.
 */
#include <algorithm>
#include <iostream>

#include "daemons/ctl/ctl_command.h"
#include "daemons/ctl/ctl_session.h"
#include "kernel/base/log_event.h"

namespace {

using eelgrass::ctl_command;
using command_list = std::vector<std::unique_ptr<ctl_command>>;

std::vector<eelgrass::setting_spec> CtlSettings() {
  using eelgrass::TextSetting;
  return {
      eelgrass::AddressSetting("entries", "127.0.0.1:8080", true, "entries to try, in this order"),
      TextSetting("token", "", "the operator's token"),
      TextSetting("key", "", "idempotency key, to repeat a command whose outcome is unknown"),
      TextSetting("note", "", "note stored with a change"),
      eelgrass::IntSetting("due-ms", 0, 0, INT64_MAX / 2,
                           "wall time of a booked change, in ms since 1970"),
      eelgrass::IntSetting("timeout-ms", 10000, 100, 600000, "longest wait for an entry"),
      eelgrass::ChoiceSetting("json", "no", {"yes", "no"}, "print JSON")};
}

std::string HelpText(const command_list& commands) {
  std::string text = "Queries and controls the entries. Commands:\n";
  for (const auto& command : commands) {
    text += "  " + std::string(command->words()) + " " + std::string(command->arguments()) + "\n" +
            "      " + std::string(command->help()) + "\n";
  }
  return text + "\nExit codes: 0 done, 1 refused, 2 wrong command line, 3 no entry answered,\n" +
         "4 outcome unknown (repeat with the same --key).";
}

size_t WordCount(std::string_view words) {
  return static_cast<size_t>(std::count(words.begin(), words.end(), ' ')) + 1;
}

ctl_command* FindCommand(const command_list& commands, std::span<const std::string> words) {
  for (const auto& command : commands) {
    const size_t count = WordCount(command->words());
    if (words.size() < count) continue;
    std::string start = words[0];
    for (size_t i = 1; i < count; ++i) start += " " + words[i];
    if (start == command->words()) return command.get();
  }
  return nullptr;
}

int UsageError(std::string_view problem) {
  std::cerr << problem << "; see eelgrassctl --help\n";
  return static_cast<int>(eelgrass::ctl_exit::kUsage);
}

}  // namespace

int main(int argc, char** argv) {
  using namespace eelgrass;  // NOLINT(google-build-using-namespace)
  const auto specs = CtlSettings();
  const auto commands = AllCtlCommands();
  int exit_code = 0;
  const std::span<const char* const> arguments(argv, static_cast<size_t>(argc));
  const auto values = ParseOrExplain(arguments, specs, HelpText(commands), exit_code);
  if (!values) return exit_code;
  StartLogging(argv[0]);
  if (values->words().empty()) return UsageError("no command given");
  ctl_command* command = FindCommand(commands, values->words());
  if (command == nullptr) return UsageError("unknown command '" + values->words()[0] + "'");
  const auto rest = values->words().subspan(WordCount(command->words()));
  if (rest.size() < command->min_arguments()) {
    return UsageError("missing argument: " + std::string(command->arguments()));
  }
  auto client = client_registry::Instance().Create("curl", client_options{});
  if (!client) return UsageError(client.error().detail);
  ctl_session session(*values, *client.value());
  return static_cast<int>(command->Run(session, rest));
}
