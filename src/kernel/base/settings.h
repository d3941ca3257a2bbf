/** \file
 * A program's settings: flag, then environment variable, then default.
 */
#pragma once

#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <span>
#include <string>
#include <string_view>
#include <vector>

#include "kernel/base/error.h"

namespace eelgrass {

/** Declaration of one setting. The flag is --name, the variable EELGRASS_NAME. */
struct setting_spec {
  std::string name;          // lower case with hyphens
  std::string default_text;  // empty: none
  std::string help;          // one line, with the unit
  std::string allowed;       // what a value may be, for errors; empty: any text
  std::function<bool(std::string_view)> check;
};

/** A setting that takes a whole number within a range. */
setting_spec IntSetting(std::string_view name, int64_t default_value, int64_t least, int64_t most,
                        std::string_view help);

/** A setting that takes any text. */
setting_spec TextSetting(std::string_view name, std::string_view default_value,
                         std::string_view help);

/** A setting that takes IP:PORT, or a list of them with commas when `list` is set. */
setting_spec AddressSetting(std::string_view name, std::string_view default_value, bool list,
                            std::string_view help);

/** A setting that takes one of the given words. */
setting_spec ChoiceSetting(std::string_view name, std::string_view default_value,
                           const std::vector<std::string>& choices, std::string_view help);

/** The checked values of a program's settings. */
class settings {
 public:
  /**
   * Reads the command line and the environment. Errors are one line that names the setting, the
   * value and what is allowed.
   */
  static result<settings> Parse(std::span<const char* const> arguments,
                                std::span<const setting_spec> specs);

  const std::string& text(std::string_view name) const;
  int64_t number(std::string_view name) const;
  std::vector<std::string> list(std::string_view name) const;

  bool help_wanted() const { return help_wanted_; }
  bool version_wanted() const { return version_wanted_; }

  /** Words on the command line that belong to no flag. */
  std::span<const std::string> words() const { return words_; }

 private:
  std::map<std::string, std::string, std::less<>> values_;
  std::vector<std::string> words_;
  bool help_wanted_ = false;
  bool version_wanted_ = false;
};

/** The --help text of a program. */
std::string HelpText(std::string_view program, std::string_view purpose,
                     std::span<const setting_spec> specs);

/**
 * Parses for a main function: prints help, version or the error, and sets `exit_code` when the
 * program should end: 0 after help or version, 2 after an error.
 */
std::unique_ptr<settings> ParseOrExplain(std::span<const char* const> arguments,
                                         std::span<const setting_spec> specs,
                                         std::string_view purpose, int& exit_code);

}  // namespace eelgrass
