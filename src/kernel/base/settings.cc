#include "kernel/base/settings.h"

#include <algorithm>
#include <boost/program_options.hpp>
#include <cctype>
#include <charconv>
#include <cstdlib>
#include <iostream>
#include <sstream>

#include "kernel/base/address.h"

namespace eelgrass {
namespace {

namespace po = boost::program_options;

constexpr std::string_view kVariablePrefix = "EELGRASS_";

bool ParseInt(std::string_view text, int64_t& value) {
  const auto parsed = std::from_chars(text.data(), text.data() + text.size(), value);
  return parsed.ec == std::errc() && parsed.ptr == text.data() + text.size();
}

std::vector<std::string> Split(std::string_view text, char separator) {
  std::vector<std::string> parts;
  std::stringstream stream{std::string(text)};
  std::string part;
  while (std::getline(stream, part, separator)) {
    if (!part.empty()) parts.push_back(part);
  }
  return parts;
}

/** The product's programs listen at, and call, IPv4 addresses. */
bool IsIpv4Address(std::string_view text) {
  const auto parts = ParseAddress(text);
  return parts && parts->form == host_form::kIpv4;
}

bool IsAddressList(std::string_view text) {
  const auto parts = Split(text, ',');
  return std::all_of(parts.begin(), parts.end(),
                     [](const auto& part) { return IsIpv4Address(part); });
}

std::string VariableName(std::string_view setting) {
  std::string name(kVariablePrefix);
  for (char c : setting) name += c == '-' ? '_' : static_cast<char>(std::toupper(c));
  return name;
}

error SettingError(const setting_spec& spec, std::string_view value) {
  return {error_kind::kInvalid, "read-settings", "",
          "setting --" + spec.name + " has the value '" + std::string(value) +
              "'; allowed: " + spec.allowed};
}

po::options_description Describe(std::span<const setting_spec> specs) {
  po::options_description options;
  options.add_options()("help", "")("version", "")("words", po::value<std::vector<std::string>>());
  for (const auto& spec : specs) {
    options.add_options()(spec.name.c_str(), po::value<std::string>());
  }
  return options;
}

std::string ValueOf(const po::variables_map& flags, const setting_spec& spec) {
  if (flags.count(spec.name) > 0) return flags[spec.name].as<std::string>();
  const char* variable = std::getenv(VariableName(spec.name).c_str());
  return variable != nullptr ? variable : spec.default_text;
}

}  // namespace

setting_spec IntSetting(std::string_view name, int64_t default_value, int64_t least, int64_t most,
                        std::string_view help) {
  const std::string allowed =
      "a whole number from " + std::to_string(least) + " to " + std::to_string(most);
  auto check = [least, most](std::string_view text) {
    int64_t value = 0;
    return ParseInt(text, value) && value >= least && value <= most;
  };
  return {std::string(name), std::to_string(default_value), std::string(help), allowed, check};
}

setting_spec TextSetting(std::string_view name, std::string_view default_value,
                         std::string_view help) {
  return {std::string(name), std::string(default_value), std::string(help), "any text", nullptr};
}

setting_spec AddressSetting(std::string_view name, std::string_view default_value, bool list,
                            std::string_view help) {
  const std::string allowed = list ? "IP:PORT, or several with commas" : "IP:PORT";
  auto check = [list](std::string_view text) {
    return text.empty() || (list ? IsAddressList(text) : IsIpv4Address(text));
  };
  return {std::string(name), std::string(default_value), std::string(help), allowed, check};
}

setting_spec ChoiceSetting(std::string_view name, std::string_view default_value,
                           const std::vector<std::string>& choices, std::string_view help) {
  std::string allowed = "one of";
  for (const auto& choice : choices) allowed += " " + choice;
  auto check = [choices](std::string_view text) {
    return std::find(choices.begin(), choices.end(), text) != choices.end();
  };
  return {std::string(name), std::string(default_value), std::string(help), allowed, check};
}

result<settings> settings::Parse(std::span<const char* const> arguments,
                                 std::span<const setting_spec> specs) {
  settings parsed;
  po::variables_map flags;
  try {
    po::positional_options_description positions;
    positions.add("words", -1);
    po::command_line_parser parser(static_cast<int>(arguments.size()), arguments.data());
    using style = po::command_line_style::style_t;
    const int exact = po::command_line_style::unix_style & ~style::allow_guessing;
    po::store(parser.options(Describe(specs)).positional(positions).style(exact).run(), flags);
  } catch (const po::error& problem) {
    return Fail(error_kind::kInvalid, "read-settings", "",
                std::string(problem.what()) + "; allowed: the flags that --help lists");
  }
  parsed.help_wanted_ = flags.count("help") > 0;
  parsed.version_wanted_ = flags.count("version") > 0;
  if (flags.count("words") > 0) parsed.words_ = flags["words"].as<std::vector<std::string>>();
  for (const auto& spec : specs) {
    std::string value = ValueOf(flags, spec);
    if (spec.check && !spec.check(value)) return SettingError(spec, value);
    parsed.values_[spec.name] = std::move(value);
  }
  return parsed;
}

const std::string& settings::text(std::string_view name) const {
  return values_.find(name)->second;
}

int64_t settings::number(std::string_view name) const {
  int64_t value = 0;
  ParseInt(text(name), value);
  return value;
}

std::vector<std::string> settings::list(std::string_view name) const {
  return Split(text(name), ',');
}

std::string HelpText(std::string_view program, std::string_view purpose,
                     std::span<const setting_spec> specs) {
  std::ostringstream text;
  text << "usage: " << program << " [settings]\n\n" << purpose << "\n\nsettings:\n";
  for (const auto& spec : specs) {
    text << "  --" << spec.name << "  " << spec.help << "\n      allowed: " << spec.allowed
         << "; default: " << (spec.default_text.empty() ? "none" : spec.default_text)
         << "; variable: " << VariableName(spec.name) << "\n";
  }
  text << "  --help\n  --version\n";
  return text.str();
}

std::unique_ptr<settings> ParseOrExplain(std::span<const char* const> arguments,
                                         std::span<const setting_spec> specs,
                                         std::string_view purpose, int& exit_code) {
  auto parsed = settings::Parse(arguments, specs);
  if (!parsed) {
    std::cerr << parsed.error().detail << "\n";
    exit_code = 2;
    return nullptr;
  }
  exit_code = 0;
  if (parsed.value().help_wanted()) {
    std::cout << HelpText(arguments[0], purpose, specs);
    return nullptr;
  }
  if (parsed.value().version_wanted()) {
    std::cout << "eelgrasshaven " << EELGRASS_VERSION << "\n";
    return nullptr;
  }
  return std::make_unique<settings>(std::move(parsed.value()));
}

}  // namespace eelgrass
