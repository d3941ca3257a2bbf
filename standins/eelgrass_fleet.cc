/** \file
 * The users' platform for tests of the real programs: row store and runners over HTTP.
 */
#include <charconv>
#include <iostream>
#include <span>
#include <string>
#include <vector>

#include "daemons/node/process_signals.h"
#include "kernel/base/log_event.h"
#include "kernel/base/system_clock.h"
#include "standins/standin_fleet.h"

namespace {

constexpr int kBadUse = 2;

constexpr std::string_view kUse =
    "eelgrass_fleet STORE SERVICE [RUNNER=AGENT@ZONE[/NAMED][*PERCENT]...]\n"
    "  STORE, RUNNER, AGENT and NAMED, the address that the runner names, are IP:PORT; PERCENT (10 "
    "to 1000) is the time that work takes there; runs until SIGTERM, then prints what was broken\n";

constexpr int kLeastPercent = 10;
constexpr int kMostPercent = 1000;

bool ReadPlace(std::string_view word, eelgrass::fleet_runner_place& place) {
  if (const size_t star = word.find('*'); star != std::string_view::npos) {
    const std::string_view percent = word.substr(star + 1);
    const auto read =
        std::from_chars(percent.data(), percent.data() + percent.size(), place.time_percent);
    const bool whole = read.ec == std::errc() && read.ptr == percent.data() + percent.size();
    if (!whole || place.time_percent < kLeastPercent || place.time_percent > kMostPercent) {
      return false;
    }
    word = word.substr(0, star);
  }
  const size_t equals = word.find('=');
  const size_t at = word.find('@');
  if (equals == std::string_view::npos || at == std::string_view::npos || at < equals) return false;
  place.listen = word.substr(0, equals);
  place.agent = word.substr(equals + 1, at - equals - 1);
  const size_t slash = word.find('/');
  place.zone = word.substr(at + 1, slash == std::string_view::npos ? slash : slash - at - 1);
  if (slash != std::string_view::npos) place.advertised = word.substr(slash + 1);
  return true;
}

}  // namespace

int main(int argc, char** argv) {
  const eelgrass::process_signals signals;
  const std::span<char*> words(argv, static_cast<size_t>(argc));
  std::vector<eelgrass::fleet_runner_place> runners;
  bool readable = words.size() >= 3;
  for (size_t i = 3; i < words.size(); ++i) {
    eelgrass::fleet_runner_place place;
    readable = readable && ReadPlace(words[i], place);
    runners.push_back(place);
  }
  if (!readable) {
    std::cerr << kUse;
    return kBadUse;
  }
  eelgrass::StartLogging(words[0]);
  const eelgrass::system_clock time;
  eelgrass::standin_fleet fleet(words[1], runners, words[2], time);
  const auto started = fleet.Start();
  if (!started) {
    std::cerr << eelgrass::ToString(started.error()) << "\n";
    return 1;
  }
  signals.Wait();
  fleet.Stop();
  for (const auto& line : fleet.broken()) std::cout << "BROKEN " << line << "\n";
  std::cout << "starts " << fleet.starts() << "\n";
  return fleet.broken().empty() ? 0 : 1;
}
