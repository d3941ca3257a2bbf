/** \file
 * Recent use of each service by each organisation, compared with fair shares.
 */
#pragma once

#include <map>
#include <string>
#include <string_view>

#include "kernel/base/millis.h"
#include "kernel/model/amounts.h"

namespace eelgrass {

struct planning_view;

/** An organisation whose usage exceeds this many times its fair share yields to waiting others. */
inline constexpr double kShareTolerance = 1.25;

/** Use of one service by one organisation. Shares are dominant shares of the service's capacity. */
struct organisation_usage {
  amounts used;            // by its runs at the last update
  double present = 0;      // share of the service that this is
  double share = 0;        // average over time, by which it is judged
  double fair = 0;         // its fair share; 0 while it neither uses the service nor waits for it
  bool waiting = false;    // it has a unit that is ready to start
  int others_waiting = 0;  // number of other organisations with such a unit
  bool over = false;       // its share exceeds kShareTolerance times its fair share

  /** Whether its units may be placed behind those of others. */
  bool Crowds() const { return over && others_waiting > 0; }
};

/**
 * Averages the dominant share of each organisation at each service over time, with a half-life, and
 * compares it with the organisation's fair share: the share that its guaranteed accelerators are of
 * the service, plus an equal part of what the guarantees of all active organisations leave. An
 * organisation is active while it uses the service or waits for it.
 *
 * This addresses loads in which one organisation's burst would make all others wait. The state is
 * kept in memory only: the first update after construction takes the shares of the running runs as
 * the averages.
 */
class usage_ledger {
 public:
  /** Advances the averages to the time of the view, and reads the runs and the ready units. */
  void Update(const planning_view& view);

  /** Nullptr if the organisation has neither used the service lately nor waits for it. */
  const organisation_usage* Find(std::string_view organisation, std::string_view service) const;

  /** Whether units of the organisation may be placed behind those of others at the service. */
  bool Crowds(std::string_view organisation, std::string_view service) const;

  /** Number of pairs of an organisation and a service for which Crowds() is true. */
  int crowding() const;

 private:
  struct entry {
    organisation_usage usage;
    bool logged_over = false;
    millis logged{INT64_MIN / 4};  // when it was last logged to be above its fair share
  };
  struct service_usage {
    amounts capacity;
    millis oldest_report{0};  // of the workers with runs
    std::map<std::string, entry, std::less<>> organisations;
  };

  void Advance(millis now);
  void ReadRuns(const planning_view& view);
  void ReadWaiting(const planning_view& view);
  static void Compare(service_usage& service, const planning_view& view);
  static void Log(std::string_view name, std::string_view organisation, entry& entry,
                  const service_usage& service, millis now);
  static void Drop(service_usage& service, const planning_view& view);

  std::map<std::string, service_usage, std::less<>> services_;
  millis updated_{0};
  bool settled_ = false;  // the averages cover all runs since an earlier update
};

}  // namespace eelgrass
