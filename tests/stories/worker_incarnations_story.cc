#include <doctest/doctest.h>

#include <algorithm>

#include "kernel/batch/agent_core.h"
#include "tests/world/batch_world.h"
#include "tests/world/require_kept.h"

namespace eelgrass {
namespace {

constexpr int64_t kTerm = 5;
const worker_identity kPresent{"w1", 100};
const listed_run kRun{"a.0.0.0", 501, "", 100, 0};

/** An agent with a planner, and a worker that runs something. */
class agent_beside_worker {
 public:
  agent_beside_worker() {
    planner_notice notice;
    notice.term = kTerm;
    notice.planner = "entry-0";
    Tell(peer_said{"entry-0", notice}, millis(0));
    Beat(kPresent, millis(10));
    REQUIRE(holds.size() == 1);
    Answer(holds.back(), millis(10), call_outcome::kDone, kPresent.born_ms, millis(20));
    REQUIRE(Listed(kPresent));
  }

  void Tell(agent_event event, millis now) { Decide({std::move(event)}, now); }
  void Pass(millis now) { Decide({}, now); }

  void Beat(const worker_identity& self, millis now, int64_t sequence = 1,
            std::string_view address = "10.0.0.1:80") {
    worker_heartbeat beat;
    beat.worker.self = self;
    beat.worker.address = address;
    beat.sequence = sequence;
    beat.clock_ms = 1000 + now.count();
    Tell(beat, now);
  }

  /** The answer to a hold; what the present life lists is running, another lists nothing. */
  void Answer(const hold_call& call, millis sent, call_outcome outcome, int64_t born, millis now) {
    hold_answer said;
    said.worker = call.worker;
    said.fence = call.fence;
    said.sent = sent;
    said.outcome = outcome;
    said.born_ms = born;
    said.clock_ms = 1000 + now.count();
    if (born == kPresent.born_ms) said.running.push_back(kRun);
    Tell(said, now);
  }

  /** Refuses the connections of all holds that are called for a while. */
  void Refuse(millis from, millis to) {
    for (millis now = from; now < to; now += millis(1)) {
      const size_t asked = holds.size();
      Pass(now);
      if (holds.size() == asked) continue;
      Answer(holds.back(), now, call_outcome::kConnectionRefused, 0, now);
    }
  }

  /** Whether the latest words on a life are that it lists. */
  bool Listed(const worker_identity& self) const {
    const auto found = std::find_if(reports.rbegin(), reports.rend(),
                                    [&](const auto& report) { return report.worker.self == self; });
    return found != reports.rend() && found->present && found->listed;
  }
  bool Gone(const worker_identity& self) const {
    return std::any_of(reports.begin(), reports.end(), [&](const auto& report) {
      return report.worker.self == self && !report.present;
    });
  }
  int Reported(const worker_identity& self) const {
    return static_cast<int>(std::count_if(reports.begin(), reports.end(), [&](const auto& report) {
      return report.worker.self == self;
    }));
  }
  int Holds(const worker_identity& self) const {
    return static_cast<int>(std::count_if(holds.begin(), holds.end(),
                                          [&](const auto& hold) { return hold.worker == self; }));
  }

  std::vector<hold_call> holds;  // all that were called
  std::vector<start_call> starts;
  std::vector<worker_report> reports;

 private:
  void Decide(std::vector<agent_event> events, millis now) {
    std::vector<agent_action> actions;
    core_.Decide(events, now, actions);
    for (const auto& action : actions) {
      if (const auto* hold = std::get_if<hold_call>(&action)) holds.push_back(*hold);
      if (const auto* start = std::get_if<start_call>(&action)) starts.push_back(*start);
      const auto* send = std::get_if<send_to_peer>(&action);
      if (send == nullptr) continue;
      if (const auto* report = std::get_if<worker_report>(&send->message)) {
        reports.push_back(*report);
      }
    }
  }

  agent_core core_{"agent-0", {"entry-0:7000"}};
};

TEST_CASE("which life of a worker lives is judged by its own answers alone") {
  agent_beside_worker scene;
  REQUIRE(scene.Holds(kPresent) == 2);

  SUBCASE("a heartbeat of a former life comes late, and its clock was ahead") {
    const worker_identity former{"w1", 200};
    scene.Beat(former, millis(100));
    CHECK(scene.Holds(former) == 1);
    CHECK(scene.Reported(former) == 0);
    SUBCASE("the life that answers goes on with what it runs") {
      const hold_call asked = scene.holds.back();
      scene.Answer(asked, millis(100), call_outcome::kDone, kPresent.born_ms, millis(105));
      scene.Pass(millis(1500));
      CHECK(scene.Listed(kPresent));
      CHECK(scene.reports.back().running.size() == 1);
      CHECK_FALSE(scene.Gone(kPresent));
      CHECK(scene.Holds(former) == 1);
    }
  }
  SUBCASE("a heartbeat of another worker that was there before comes late") {
    const worker_identity former{"w0", 200};
    scene.Beat(former, millis(100));
    CHECK_FALSE(scene.Gone(kPresent));
    scene.Answer(scene.holds.back(), millis(100), call_outcome::kOtherIncarnation, 0, millis(105));
    scene.Pass(millis(1500));
    CHECK(scene.Listed(kPresent));
    CHECK_FALSE(scene.Gone(kPresent));
    CHECK(scene.Reported(former) == 0);
  }
  SUBCASE("the worker starts again after its clock was stepped back") {
    const worker_identity next{"w1", 50};
    scene.Beat(next, millis(100));
    REQUIRE(scene.Holds(next) == 1);
    const hold_call asked = scene.holds.back();
    SUBCASE("its answer makes it the present one, and the former one is reported gone") {
      scene.Answer(asked, millis(100), call_outcome::kDone, next.born_ms, millis(105));
      CHECK(scene.Gone(kPresent));
      CHECK(scene.Listed(next));
      CHECK(scene.reports.back().running.empty());
      SUBCASE("and nothing else is asked or reported from then on") {
        const size_t reports = scene.reports.size();
        scene.Answer(scene.holds.back(), millis(105), call_outcome::kDone, next.born_ms,
                     millis(110));
        for (millis now(150); now < millis(3000); now += millis(50)) {
          const size_t holds = scene.holds.size();
          scene.Pass(now);
          for (size_t i = holds; i < scene.holds.size(); ++i) CHECK(scene.holds[i].worker == next);
        }
        for (size_t i = reports; i < scene.reports.size(); ++i) {
          CHECK(scene.reports[i].worker.self == next);
        }
      }
    }
    SUBCASE("an answer of the former one that came meanwhile has it asked again") {
      scene.Answer(scene.holds[1], millis(20), call_outcome::kDone, kPresent.born_ms, millis(103));
      scene.Answer(asked, millis(100), call_outcome::kDone, next.born_ms, millis(105));
      CHECK_FALSE(scene.Gone(kPresent));
      scene.Pass(millis(400));
      REQUIRE(scene.Holds(next) == 2);
      scene.Answer(asked, millis(400), call_outcome::kDone, next.born_ms, millis(405));
      CHECK(scene.Gone(kPresent));
      CHECK(scene.Listed(next));
    }
    SUBCASE("an answer of the former one that comes later says nothing any more") {
      scene.Answer(asked, millis(100), call_outcome::kDone, next.born_ms, millis(105));
      scene.Answer(scene.holds[1], millis(20), call_outcome::kDone, kPresent.born_ms, millis(110));
      scene.Pass(millis(1500));
      CHECK(scene.Listed(next));
      SUBCASE("nor when a late heartbeat has it asked again") {
        const int asked_before = scene.Holds(kPresent);
        scene.Beat(kPresent, millis(1600), 9);
        CHECK(scene.Holds(kPresent) == asked_before + 1);
        scene.Answer(scene.holds[1], millis(20), call_outcome::kDone, kPresent.born_ms,
                     millis(1601));
        CHECK_FALSE(scene.Gone(next));
      }
    }
  }
  SUBCASE("another worker with an earlier clock takes over the address") {
    const worker_identity next{"w2", 50};
    scene.Beat(next, millis(100));
    REQUIRE(scene.Holds(next) == 1);
    CHECK_FALSE(scene.Gone(kPresent));
    scene.Answer(scene.holds.back(), millis(100), call_outcome::kDone, next.born_ms, millis(105));
    CHECK(scene.Gone(kPresent));
    CHECK(scene.Listed(next));
  }
  SUBCASE("a life that nobody answers for is not asked for long") {
    const worker_identity former{"w1", 200};
    scene.Beat(former, millis(100));
    for (millis now(150); now < millis(10000); now += millis(50)) {
      const hold_call asked = scene.holds.back();
      const bool candidate = asked.worker == former;
      scene.Pass(now);
      if (candidate) scene.Answer(asked, now, call_outcome::kNeverSent, 0, now);
    }
    CHECK(scene.Holds(former) < 20);
    CHECK_FALSE(scene.Gone(kPresent));
  }
}

TEST_CASE("an incarnation is asked under a higher fence than all calls to its id before") {
  agent_beside_worker scene;
  const worker_identity next{"w1", 300};
  const int64_t before = scene.holds.back().fence;
  scene.Beat(next, millis(100));
  REQUIRE(scene.Holds(next) == 1);
  const hold_call asked = scene.holds.back();
  CHECK(asked.fence > before);
  CHECK(asked.fence < FenceOf(kTerm + 1, 0));

  SUBCASE("which its lists then have, without a word of the planner") {
    scene.Answer(asked, millis(100), call_outcome::kDone, next.born_ms, millis(105));
    REQUIRE(scene.Listed(next));
    CHECK(FenceOf(kTerm, scene.reports.back().life) == asked.fence);
    SUBCASE("and the one after it under a still higher one") {
      scene.Beat({"w1", 400}, millis(200));
      CHECK(scene.holds.back().fence > asked.fence);
    }
  }
  SUBCASE("also after a departure, when none is present") {
    scene.Tell(worker_departure{kPresent.id}, millis(110));
    scene.Answer(scene.holds[1], millis(20), call_outcome::kNoAnswer, 0, millis(112));
    scene.Answer(asked, millis(100), call_outcome::kDone, next.born_ms, millis(113));
    scene.Tell(worker_departure{next.id}, millis(120));
    const hold_call last = scene.holds.back();
    scene.Answer(last, millis(120), call_outcome::kConnectionRefused, 0, millis(121));
    scene.Beat({"w1", 500}, millis(400));
    CHECK(scene.holds.back().worker.born_ms == 500);
    CHECK(scene.holds.back().fence > asked.fence);
  }
  SUBCASE("also under a new term") {
    planner_notice notice;
    notice.term = kTerm + 1;
    notice.planner = "entry-1";
    scene.Tell(peer_said{"entry-1", notice}, millis(101));
    CHECK(scene.holds.back().worker == next);
    CHECK(scene.holds.back().fence > FenceOf(kTerm + 1, 0));
  }
  SUBCASE("and under a still higher one while it refuses, as an ended process has used more") {
    scene.Answer(asked, millis(100), call_outcome::kRefused, 0, millis(105));
    scene.Pass(millis(310));
    const hold_call again = scene.holds.back();
    REQUIRE(again.worker == next);
    CHECK(again.fence > asked.fence);
    scene.Answer(again, millis(310), call_outcome::kDone, next.born_ms, millis(315));
    CHECK(scene.Listed(next));
    CHECK(FenceOf(kTerm, scene.reports.back().life) == again.fence);
  }
  SUBCASE("the present one follows if it was asked itself, as its heartbeat was outdated") {
    scene.Answer(asked, millis(100), call_outcome::kDone, kPresent.born_ms, millis(105));
    scene.Pass(millis(110));
    CHECK(scene.holds.back().worker == kPresent);
    CHECK(scene.holds.back().fence == asked.fence);
  }
}

TEST_CASE("a departure is believed once nothing of the life can run any more") {
  constexpr millis kLeaseOver{4400};  // of the longest one, on a slow clock
  agent_beside_worker scene;
  REQUIRE(scene.Holds(kPresent) == 2);
  scene.Tell(worker_departure{kPresent.id}, millis(100));

  SUBCASE("connections are refused: it is reported gone when its lease is over") {
    scene.Answer(scene.holds.back(), millis(20), call_outcome::kNoAnswer, 0, millis(102));
    scene.Refuse(millis(125), kLeaseOver);
    REQUIRE(scene.Holds(kPresent) > 3);
    CHECK_FALSE(scene.Gone(kPresent));
    CHECK_FALSE(scene.Listed(kPresent));
    SUBCASE("but not if it answers again, as the departure was not acknowledged") {
      scene.Pass(kLeaseOver + millis(400));
      scene.Answer(scene.holds.back(), kLeaseOver + millis(400), call_outcome::kDone,
                   kPresent.born_ms, kLeaseOver + millis(401));
      CHECK_FALSE(scene.Gone(kPresent));
      CHECK(scene.Listed(kPresent));
    }
    SUBCASE("which is then over") {
      scene.Refuse(kLeaseOver, kLeaseOver + millis(500));
      CHECK(scene.Gone(kPresent));
    }
  }
  SUBCASE("it has no runs: it is reported gone at the first refusal") {
    const worker_identity idle{"w2", 300};
    scene.Beat(idle, millis(110), 1, "10.0.0.2:80");
    scene.Answer(scene.holds.back(), millis(110), call_outcome::kDone, idle.born_ms, millis(112));
    scene.Tell(worker_departure{idle.id}, millis(115));
    REQUIRE(scene.holds.back().worker == idle);
    scene.Answer(scene.holds.back(), millis(115), call_outcome::kConnectionRefused, 0, millis(117));
    CHECK(scene.Gone(idle));
  }
  SUBCASE("it answers once more before it ends: the same") {
    scene.Answer(scene.holds.back(), millis(20), call_outcome::kDone, kPresent.born_ms,
                 millis(102));
    scene.Refuse(millis(125), kLeaseOver);
    CHECK_FALSE(scene.Gone(kPresent));
    scene.Refuse(kLeaseOver, kLeaseOver + millis(500));
    CHECK(scene.Gone(kPresent));
  }
  SUBCASE("no call can be sent to it: it may be there, and its lease decides") {
    scene.Answer(scene.holds.back(), millis(20), call_outcome::kNoAnswer, 0, millis(102));
    millis sent(102);
    for (millis now(103); now < millis(2000); now += millis(1)) {
      const size_t asked = scene.holds.size();
      scene.Pass(now);
      if (scene.holds.size() == asked) continue;
      sent = now;
      scene.Answer(scene.holds.back(), sent, call_outcome::kNeverSent, 0, now);
    }
    CHECK(scene.Holds(kPresent) > 3);
    CHECK_FALSE(scene.Gone(kPresent));
    SUBCASE("nobody listens once calls can be sent again: it is reported gone after its lease") {
      scene.Refuse(millis(2000), kLeaseOver);
      CHECK_FALSE(scene.Gone(kPresent));
      scene.Refuse(kLeaseOver, kLeaseOver + millis(500));
      CHECK(scene.Gone(kPresent));
    }
  }
  SUBCASE("it is at another address now, and nobody listens at the one that was asked") {
    scene.Answer(scene.holds.back(), millis(20), call_outcome::kNoAnswer, 0, millis(102));
    scene.Pass(millis(125));
    scene.Beat(kPresent, millis(126), 2, "10.0.0.1:81");
    scene.Answer(scene.holds.back(), millis(125), call_outcome::kConnectionRefused, 0, millis(127));
    CHECK_FALSE(scene.Gone(kPresent));
    SUBCASE("nor yet at the new one, where it has never answered") {
      const size_t asked = scene.holds.size();
      millis now(128);
      for (; now < millis(3000) && scene.holds.size() == asked; now += millis(1)) scene.Pass(now);
      REQUIRE(scene.holds.back().address == "10.0.0.1:81");
      const millis sent = now - millis(1);
      scene.Answer(scene.holds.back(), sent, call_outcome::kConnectionRefused, 0, now);
      CHECK_FALSE(scene.Gone(kPresent));
    }
  }
  SUBCASE("another life answers in its place") {
    scene.Answer(scene.holds.back(), millis(20), call_outcome::kNoAnswer, 0, millis(102));
    scene.Pass(millis(125));
    scene.Answer(scene.holds.back(), millis(125), call_outcome::kDone, 300, millis(127));
    CHECK(scene.Gone(kPresent));
  }
  SUBCASE("it goes on answering: the departure was a former life's, and came late") {
    scene.Answer(scene.holds.back(), millis(20), call_outcome::kDone, kPresent.born_ms,
                 millis(102));
    const int before = scene.Holds(kPresent);
    millis sent(102);
    int asked = before;
    for (millis now(103); now < millis(2000); now += millis(1)) {
      scene.Pass(now);
      if (scene.Holds(kPresent) > asked) sent = now;
      if (scene.Holds(kPresent) > asked) {
        asked = scene.Holds(kPresent);
        scene.Answer(scene.holds.back(), sent, call_outcome::kDone, kPresent.born_ms, now);
        if (scene.holds.back().wait > millis(0)) break;
      }
    }
    CHECK_FALSE(scene.Gone(kPresent));
    CHECK(scene.Listed(kPresent));
    CHECK(scene.holds.back().wait > millis(0));
    CHECK(asked - before < 10);
  }
  SUBCASE("it answers nothing: its lease decides, and it gets no starts meanwhile") {
    worker_order order;
    order.term = kTerm;
    order.sequence = 1;
    order.worker = kPresent;
    order.starts.push_back({"a.0.0.1", 502, "", ""});
    order.grant_sequence = scene.reports.back().sequence;
    order.grant_ms = 4000;
    scene.Tell(peer_said{"entry-0", order}, millis(101));
    scene.Pass(millis(1000));
    CHECK(scene.starts.empty());
    CHECK_FALSE(scene.Gone(kPresent));
  }
  SUBCASE("of another life by its birth: nothing is asked") {
    agent_beside_worker other;
    other.Tell(worker_departure{kPresent.id, 99}, millis(100));
    other.Answer(other.holds.back(), millis(20), call_outcome::kDone, kPresent.born_ms,
                 millis(102));
    CHECK(other.holds.back().wait > millis(0));
    CHECK_FALSE(other.Gone(kPresent));
  }
}

TEST_CASE("a life that has not answered yet may listen later: a refused connection ends nothing") {
  const worker_identity next{"w2", 300};
  agent_beside_worker scene;
  scene.Beat(next, millis(30), 1, "10.0.0.2:80");
  REQUIRE(scene.Holds(next) == 1);
  scene.Tell(worker_departure{next.id}, millis(40));
  scene.Answer(scene.holds.back(), millis(30), call_outcome::kNoAnswer, 0, millis(41));
  scene.Pass(millis(70));
  REQUIRE(scene.Holds(next) == 2);
  scene.Answer(scene.holds.back(), millis(70), call_outcome::kConnectionRefused, 0, millis(71));
  CHECK_FALSE(scene.Gone(next));
}

TEST_CASE("a report that overtook others tells of no worker that came after it") {
  constexpr int kWorker = 1;
  batch_world world;
  world.RunFor(millis(5000));
  SUBCASE("the clock of its VM goes right") {}
  SUBCASE("the clock of its VM was ahead, and is stepped back") {
    world.RestartWorker(kWorker, millis(300), millis(60000));
    world.RunFor(millis(3000));
    world.StepClock(kWorker, millis(-60000));
  }
  world.CrashWorker(kWorker, millis(300));
  world.RunFor(millis(7000));
  const batch_job job = MakeBatchJob("e1", "usual", 30, millis(9000), 1);
  world.Submit(job);
  world.Watch(job.id);
  world.RunFor(millis(1500));
  const size_t runs = world.worker(kWorker).running();
  CHECK(runs > 0);
  world.LateReport(kWorker);
  world.RunFor(millis(4000));
  CHECK(world.worker(kWorker).running() == runs);
  world.RunFor(millis(30000));
  CHECK(world.check().starts() == 30);
  RequireKept(world);
}

TEST_CASE("workers that start again under their ids run no task twice") {
  constexpr int kWorker = 1;
  batch_world world;
  world.RunFor(millis(5000));
  millis clock_step{0};
  SUBCASE("their clocks are stepped back") { clock_step = millis(-20000); }
  SUBCASE("their clocks go right") {}
  SUBCASE("their clocks are stepped ahead, then back") {
    world.RestartWorker(kWorker, millis(300), millis(60000));
    world.RunFor(millis(3000));
    clock_step = millis(-60000);
  }
  world.RestartWorker(kWorker, millis(300), clock_step);
  world.RunFor(millis(3000));
  const batch_job job = MakeBatchJob("e1", "usual", 30, millis(9000), 1);
  world.Submit(job);
  world.Watch(job.id);
  world.RunFor(millis(1500));
  const size_t runs = world.worker(kWorker).running();
  CHECK(runs > 0);

  SUBCASE("and nothing comes late") {}
  SUBCASE("and a heartbeat of the former life comes late") {
    world.LateBeat(kWorker);
    world.RunFor(millis(1000));
    CHECK(world.worker(kWorker).running() == runs);
  }
  SUBCASE("and the departure of the former life comes late") {
    world.RunFor(millis(400));  // a heartbeat has just come
    world.LateLeave(kWorker);
    world.RunFor(millis(3000));
    CHECK(world.worker(kWorker).running() == runs);
  }
  world.RunFor(millis(30000));
  CHECK(world.check().starts() == 30);
  RequireKept(world);
}

// Guards against review case 3: the count of a former life's ends, stored late, was applied to the
// next life, whose own first ends were then forgotten and their tasks run again (TWICE).
TEST_CASE("a worker starts again under its id while the ends of its former life are being stored") {
  constexpr int kWorker = 0;  // the first choice for these jobs
  batch_world world;
  world.RunFor(millis(5000));
  int jobs = 0;
  const auto feed = [&](int count) {
    for (int i = 0; i < count; ++i) {
      const batch_job job =
          MakeBatchJob("e" + std::to_string(100 + jobs++), "usual", 3, millis(400), 1);
      world.Submit(job);
      world.Watch(job.id);
      world.RunFor(millis(100));
    }
  };
  feed(40);
  world.SetStore(store_fault::kRefuses);
  feed(5);
  world.RestartWorker(kWorker, millis(300), millis(0));
  feed(9);
  world.SetStore(store_fault::kNone);
  feed(40);
  world.RunFor(millis(20000));
  RequireKept(world);
}

}  // namespace
}  // namespace eelgrass
