#include <doctest/doctest.h>

#include <algorithm>
#include <functional>
#include <random>
#include <span>
#include <string>
#include <vector>

#include "tests/world/batch_world.h"
#include "tests/world/hunt_days.h"
#include "tests/world/require_kept.h"

namespace eelgrass {
namespace {

constexpr int kEntries = 11;
constexpr int kWorkers = 66;
constexpr int kFirstEntries = 3;  // one in each domain
constexpr int kSteps = 40;
constexpr int kJobsPerStep = 2;
constexpr int kDisruptedSteps = 3;  // one of so many
constexpr millis kBegin{4000};
constexpr millis kEnd{70000};
constexpr millis kLostAnnouncement{1500};  // of a worker whose first heartbeat is lost
constexpr millis kLatestCall{12500};       // a late call has been carried out by then

/** What is peculiar to a day. */
enum class disruption {
  kLeaderRaceDrain,
  kMeetDrain,
  kRefusedLinks,
  kRefusingWorkers,
  kRefusingLeavers,
  kPowerLoss,
  kReplacedPlanners,
  kSuspendedAgents
};

constexpr disruption kAllDisruptions[] = {
    disruption::kLeaderRaceDrain, disruption::kMeetDrain, disruption::kRefusedLinks,
    disruption::kRefusingWorkers, disruption::kPowerLoss, disruption::kReplacedPlanners};

/** One random day of a large deployment: jobs and late orders all along, and disruptions. */
class large_day {
 public:
  large_day(uint64_t seed, worker_ids ids) : ids_(ids), random_(seed), world_(Options(seed)) {}

  void Play(std::span<const disruption> kinds) {
    if (Pick(2) == 0) world_.SetLongestAnnouncement(kLostAnnouncement);
    world_.RunFor(kBegin);
    for (int step = 0; step < kSteps; ++step) {
      for (int i = 0; i < kJobsPerStep; ++i) Submit();
      if (Pick(6) == 0) OrderLate();
      if (Pick(kDisruptedSteps) == 0) Disrupt(kinds[static_cast<size_t>(Pick(kinds.size()))]);
      if (Pick(3) == 0) DisruptAsUsual();
      world_.RunFor(Between(200, 1000));
    }
    OrderLate();
    const bool power_loss =
        std::find(kinds.begin(), kinds.end(), disruption::kPowerLoss) != kinds.end();
    if (power_loss) LosePowerEverywhere();
    world_.RunFor(kEnd);
    RequireKept(world_);
  }

 private:
  static batch_world_options Options(uint64_t seed) {
    batch_world_options options;
    options.seed = seed;
    options.entries = kEntries;
    options.workers = kWorkers;
    options.first_entries = kFirstEntries;
    return options;
  }

  int Pick(size_t below) { return static_cast<int>(random_() % below); }
  int AnyWorker() { return Pick(kWorkers); }
  int AnyEntry() { return Pick(kEntries); }
  millis Between(int least, int most) {
    return millis(least + Pick(static_cast<size_t>(most - least)));
  }
  cut_kind AnyCut() { return Pick(2) == 0 ? cut_kind::kSilent : cut_kind::kRefused; }

  void After(millis delay, std::function<void()> call) {
    world_.events().After(delay, std::move(call));
  }

  /** Some workers of the domain in which an entry is. */
  std::vector<int> WorkersBeside(int entry, int most) {
    std::vector<int> workers;
    const int count = 1 + Pick(static_cast<size_t>(most));
    for (int i = 0; i < count; ++i) {
      const int place = Pick(kWorkers / kBatchDomains);
      workers.push_back(entry % kBatchDomains + kBatchDomains * place);
    }
    return workers;
  }

  void Submit() {
    const bool gang = Pick(2) == 0;
    const std::string queue = Pick(3) == 0 ? "urgent" : "usual";
    const int tasks = 1 + Pick(8);
    const millis work(500 + 500 * Pick(8));
    const int accelerators = 1 + Pick(4);
    const batch_job job =
        MakeBatchJob(std::to_string(++last_job_), queue, tasks, work, accelerators, gang);
    jobs_.push_back(job.id);
    world_.Submit(job);
    world_.Watch(job.id);
  }

  void OrderLate() {
    world_.SetLateOrders(0.3 + 0.1 * Pick(5));
    ++late_spans_;
    After(Between(1000, 10000), [this] {
      if (--late_spans_ == 0) world_.SetLateOrders(0);
    });
  }

  void Disrupt(disruption kind) {
    switch (kind) {
      case disruption::kLeaderRaceDrain:
        return LeaderRaceDrain();
      case disruption::kMeetDrain:
        return MeetDrain();
      case disruption::kRefusedLinks:
        return RefuseLinks();
      case disruption::kRefusingWorkers:
        return RefuseCalls();
      case disruption::kRefusingLeavers:
        return LeaveUnheard();
      case disruption::kPowerLoss:
        return LosePower();
      case disruption::kReplacedPlanners:
        return ReplacePlanners();
      case disruption::kSuspendedAgents:
        return SuspendAgents();
    }
  }

  void DisruptAsUsual() {
    switch (Pick(8)) {
      case 0:
        return Restart(AnyWorker());
      case 1:
        return LeaveSoon(AnyWorker());
      case 2:
        return KillAgent(AnyWorker(), 200, 3000);
      case 3: {
        const int agent = AnyWorker();
        world_.CutAgent(agent, true);
        return After(Between(1000, 9000), [this, agent] { world_.CutAgent(agent, false); });
      }
      case 4:
        world_.SetStore(static_cast<store_fault>(1 + Pick(4)));
        return After(Between(500, 3000), [this] { world_.SetStore(store_fault::kNone); });
      case 5:
        return world_.Cancel(jobs_[static_cast<size_t>(Pick(jobs_.size()))]);
      case 6: {
        const int worker = AnyWorker();
        world_.SetMute(worker, true);
        return After(Between(1000, 6000), [this, worker] { world_.SetMute(worker, false); });
      }
      default:
        return Pick(2) == 0 ? world_.LateBeat(AnyWorker()) : world_.LateLeave(AnyWorker());
    }
  }

  void KillAgent(int worker, int least_down, int longest_down) {
    world_.KillAgent(worker, Between(least_down, longest_down));
  }

  /** A worker ends and starts again soon. */
  void Restart(int worker) {
    const millis down = Between(200, 3000);
    if (ids_ == worker_ids::kKept && Pick(4) != 0) {
      world_.RestartWorker(worker, down, Pick(2) == 0 ? millis(0) : Between(-20000, 20000));
    } else {
      world_.CrashWorker(worker, down);
    }
  }

  /** A worker drains, ends, and starts again soon. */
  void LeaveSoon(int worker) {
    const millis notice = Between(200, 4000);
    const millis away = Between(200, 4000);
    if (Pick(3) == 0) return world_.TakeAway(worker, notice, away);
    world_.DrainWorker(worker);
    const bool says_so = Pick(2) == 0;
    After(notice, [this, worker, says_so, away] {
      says_so ? world_.Leave(worker, away) : Restart(worker);
    });
  }

  void EndPlanner(int planner, millis time) {
    Pick(3) == 0 ? world_.FreezeEntry(planner, time) : world_.KillEntry(planner, time);
  }

  /** Two changes of the configuration that are written within milliseconds. */
  void ChangeConfigTwice() {
    const bool swap = Pick(2) == 0;
    if (Pick(2) == 0) world_.SetFeedDelay(Between(0, 1500));
    world_.Configure([swap](batch_config& config) {
      config.organisations[0].guaranteed_accelerators = swap ? 8 : 16;
      config.organisations[1].guaranteed_accelerators = swap ? 16 : 8;
    });
    After(millis(Pick(5)), [this, swap] {
      world_.Configure([swap](batch_config& config) { config.queues[1].stretch = swap ? 4 : 3; });
    });
    After(Between(500, 3000), [this] { world_.SetFeedDelay(millis(0)); });
  }

  void LeaderRaceDrain() {
    const int planner = world_.Planner();
    if (planner < 0) return;
    const millis away = Between(300, 5000);
    EndPlanner(planner, away);
    After(away, [this] { ChangeConfigTwice(); });
    for (const int worker : WorkersBeside(planner, 8)) {
      After(away + Between(0, 1500), [this, worker] { LeaveSoon(worker); });
    }
  }

  void MeetDrain() {
    const int entry = Pick(2) == 0 && world_.Planner() >= 0 ? world_.Planner() : AnyEntry();
    const millis away = Between(500, 6000);
    world_.CutEntry(entry, true, AnyCut());
    After(away, [this, entry] {
      world_.CutEntry(entry, false);
      ChangeConfigTwice();
    });
    for (const int worker : WorkersBeside(entry, 8)) {
      After(away + Between(-300, 1000), [this, worker] { LeaveSoon(worker); });
    }
  }

  void RefuseLinks() {
    const millis time = Between(200, 7000);
    const int planner = world_.Planner();
    const int entry = Pick(2) == 0 && planner >= 0 ? planner : AnyEntry();
    switch (Pick(3)) {
      case 0:
        world_.CutEntry(entry, true, cut_kind::kRefused);
        return After(time, [this, entry] { world_.CutEntry(entry, false); });
      case 1:
        for (const int agent : WorkersBeside(entry, 6)) {
          world_.CutAgent(agent, true, cut_kind::kRefused);
          After(time, [this, agent] { world_.CutAgent(agent, false); });
          if (Pick(2) == 0) After(Between(0, 3000), [this, agent] { Restart(agent); });
        }
        return;
      default: {
        const int domain = entry % kBatchDomains;
        world_.CutDomain(domain, true, cut_kind::kRefused);
        After(time, [this, domain] { world_.CutDomain(domain, false); });
      }
    }
  }

  /** Workers that live refuse their agents' calls; others end beside them. */
  void RefuseCalls() {
    for (const int worker : WorkersBeside(AnyEntry(), 8)) {
      world_.SetRefusing(worker, true);
      After(Between(100, 4000), [this, worker] { world_.SetRefusing(worker, false); });
      if (Pick(2) == 0) After(Between(0, 2000), [this, worker] { world_.LateLeave(worker); });
    }
    for (const int worker : WorkersBeside(AnyEntry(), 3)) Restart(worker);
  }

  /** Workers say that they leave, refuse their agents' calls, and end after a while. */
  void LeaveUnheard() {
    for (const int worker : WorkersBeside(AnyEntry(), 8)) {
      const millis linger = Between(100, 4000);
      const millis away = Between(200, 3000);
      world_.DrainWorker(worker);
      After(Between(0, 1000), [this, worker, linger, away] {
        world_.SetRefusing(worker, true);
        world_.LeaveUnheard(worker, linger, away);
        After(linger, [this, worker] { world_.SetRefusing(worker, false); });
      });
    }
  }

  /** Machines, or a domain, end with all that runs there. */
  void LosePower() {
    const int planner = world_.Planner();
    const int entry = Pick(2) == 0 && planner >= 0 ? planner : AnyEntry();
    if (Pick(3) == 0) return LosePowerIn(entry % kBatchDomains);
    world_.KillEntry(entry, Between(200, 4000));
    for (const int worker : WorkersBeside(entry, 6)) {
      world_.KillAgent(worker, Between(100, 4000));
      Restart(worker);
    }
  }

  void LosePowerIn(int domain) {
    for (int entry = domain; entry < kEntries; entry += kBatchDomains) {
      world_.KillEntry(entry, Between(200, 4000));
    }
    for (int worker = domain; worker < kWorkers; worker += kBatchDomains) {
      world_.KillAgent(worker, Between(100, 4000));
      Restart(worker);
    }
  }

  void LosePowerEverywhere() {
    for (int domain = 0; domain < kBatchDomains; ++domain) LosePowerIn(domain);
  }

  /** The planner is replaced several times before a late call is carried out. */
  void ReplacePlanners() {
    const int times = 2 + Pick(4);
    for (int i = 0; i < times; ++i) {
      After(kLatestCall * i / times, [this] {
        const int planner = world_.Planner();
        if (planner < 0) return;
        EndPlanner(planner, Between(500, 4000));
        for (const int agent : WorkersBeside(AnyEntry(), 6)) {
          world_.KillAgent(agent, Between(50, 1500));
          if (Pick(3) == 0) Restart(agent);
        }
      });
    }
  }

  /** Agents stand still; the planner ends, or workers start again, meanwhile. */
  void SuspendAgents() {
    const int entry = AnyEntry();
    for (const int agent : WorkersBeside(entry, 8)) {
      world_.FreezeAgent(agent, Between(200, 8000));
      if (Pick(4) == 0) After(Between(0, 3000), [this, agent] { Restart(agent); });
    }
    const int planner = world_.Planner();
    if (planner >= 0 && Pick(3) == 0) EndPlanner(planner, Between(500, 4000));
  }

  const worker_ids ids_;
  std::mt19937_64 random_;
  batch_world world_;
  std::vector<std::string> jobs_;
  int last_job_ = 1000;
  int late_spans_ = 0;
};

void PlayLargeDays(worker_ids ids, std::span<const disruption> kinds, uint64_t usual,
                   uint64_t usual_first = 1) {
  const auto play = [&](uint64_t seed) {
    CAPTURE(seed);
    large_day(seed, ids).Play(kinds);
  };
  PlayDays(usual, play, usual_first);
}

/** Usually plays one day of each kind, or none: such days are for hunts. */
void PlayEachKind(worker_ids ids, uint64_t usual) {
  const auto play = [&](disruption kind) { PlayLargeDays(ids, {&kind, 1}, usual); };
  SUBCASE("its planner returns to racing configurations, and workers drain") {
    play(disruption::kLeaderRaceDrain);
  }
  SUBCASE("an entry returns from a cut to a new configuration as workers leave") {
    play(disruption::kMeetDrain);
  }
  SUBCASE("links refuse connections") { play(disruption::kRefusedLinks); }
  SUBCASE("workers refuse calls") { play(disruption::kRefusingWorkers); }
  SUBCASE("workers that leave refuse calls before they end") { play(disruption::kRefusingLeavers); }
  SUBCASE("machines and domains lose power, and all of them at last") {
    play(disruption::kPowerLoss);
  }
  SUBCASE("planners are replaced while late calls are under way, and agents with them") {
    play(disruption::kReplacedPlanners);
  }
  SUBCASE("agents are suspended") { play(disruption::kSuspendedAgents); }
}

TEST_CASE("days of a large deployment keep the promises") {
  SUBCASE("workers start under new ids") {
    PlayEachKind(worker_ids::kNew, 1);
    SUBCASE("all of it happens") { PlayLargeDays(worker_ids::kNew, kAllDisruptions, 1); }
  }
  SUBCASE("workers start again under their ids") {
    PlayEachKind(worker_ids::kKept, 0);
    SUBCASE("all of it happens") { PlayLargeDays(worker_ids::kKept, kAllDisruptions, 3, 4); }
  }
}

}  // namespace
}  // namespace eelgrass
