#include <doctest/doctest.h>

#include "kernel/batch/lost_worker_detector.h"
#include "kernel/batch/run_tracker.h"

namespace eelgrass {
namespace {

constexpr int64_t kTerm = 7;

/** A planner's view of workers at addresses, as their agents' reports tell of them. */
class neighbourhood {
 public:
  neighbourhood() {
    tracker_.Begin(kTerm);
    lost_.BeginTerm(millis(0));
  }

  /** The workers that a report of lists proves to be gone. */
  std::vector<std::string> Lists(std::string_view worker, int64_t born, int64_t sequence,
                                 std::string_view address = "10.0.0.1:80",
                                 std::string_view agent = "agent-1") {
    worker_report said;
    said.term = kTerm;
    said.sequence = sequence;
    said.present = said.listed = true;
    said.worker.self = {std::string(worker), born};
    said.worker.address = address;
    if (!tracker_.On(agent, said, {}, now_)) return {};
    auto gone = lost_.ReplacedBy(*pool_.Find(worker));
    for (const auto& id : gone) tracker_.Drop(id, "another worker has its address", now_);
    return gone;
  }

  void LoseAgent() { tracker_.OnAgentDisconnected("agent-1"); }
  bool Knows(std::string_view worker) { return pool_.Find(worker) != nullptr; }

 private:
  const millis now_{10};
  job_table book_{millis(250)};
  worker_pool pool_;
  worker_speeds speeds_;
  run_tracker tracker_{{}, book_, pool_, speeds_};
  std::unique_ptr<batch_record_codec> codec_ =
      std::move(record_codec_registry::Instance().Create("json").value());
  term_election term_{{"entry-0", "nonce"}, *codec_};
  planner_journal journal_{*codec_, term_, kDefaultRowBytes};
  lost_worker_detector lost_{pool_, journal_};
};

using names = std::vector<std::string>;

/** Another worker, born at a time of day, has come to the address of one that was born at 100. */
void TellOfSuccessor(int64_t born) {
  neighbourhood scene;
  REQUIRE(scene.Lists("w1", 100, 5).empty());
  REQUIRE(scene.Lists("w3", 100, 6, "10.0.0.1:81").empty());

  SUBCASE("the other one is gone at once, and nobody else") {
    CHECK(scene.Lists("w2", born, 7) == names{"w1"});
    CHECK(scene.Lists("w2", born, 8).empty());
    CHECK(scene.Knows("w3"));
    SUBCASE("a report of it that is read late ends nothing") {
      CHECK(scene.Lists("w1", 100, 4).empty());
      CHECK(scene.Knows("w2"));
      SUBCASE("and the next one of the living makes up for it") {
        CHECK(scene.Lists("w2", born, 9) == names{"w1"});
      }
    }
    SUBCASE("a third one that lists later follows") {
      CHECK(scene.Lists("w4", 1, 9) == names{"w2"});
    }
  }
  SUBCASE("a report that its agent sent before the other's is read after it: it proves nothing") {
    CHECK(scene.Lists("w2", born, 4).empty());
    CHECK(scene.Knows("w1"));
    CHECK(scene.Lists("w1", 100, 7) == names{"w2"});
  }
  SUBCASE("the agent has started again, and counts its reports anew") {
    scene.LoseAgent();
    CHECK(scene.Lists("w2", born, 1) == names{"w1"});
  }
  SUBCASE("another agent is there now") {
    CHECK(scene.Lists("w2", born, 1, "10.0.0.1:80", "agent-2") == names{"w1"});
  }
  SUBCASE("the other one is elsewhere by now: both go on") {
    CHECK(scene.Lists("w1", 100, 7, "10.0.0.1:82").empty());
    CHECK(scene.Lists("w2", born, 8).empty());
    CHECK(scene.Knows("w1"));
    CHECK(scene.Lists("w1", 100, 9, "10.0.0.1:82").empty());
    CHECK(scene.Knows("w2"));
  }
}

TEST_CASE("of two workers at one address the one that listed last is there") {
  SUBCASE("its clock goes right") { TellOfSuccessor(200); }
  SUBCASE("its clock was stepped back") { TellOfSuccessor(50); }
  SUBCASE("it was born in the same millisecond") { TellOfSuccessor(100); }
}

}  // namespace
}  // namespace eelgrass
