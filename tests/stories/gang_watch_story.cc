#include <doctest/doctest.h>

#include "kernel/jobs/gang_watch.h"

namespace eelgrass {
namespace {

TEST_CASE("the gangs of a worker that says nothing") {
  cluster machines;
  for (const char* id : {"w1", "w2"}) {
    machines.Up({id, 1, peer_role::kWorkerAgent, id, "d", {}, {}});
    announce offer;
    offer.region = "z";
    machines.Offer(id, offer);
  }
  std::vector<send_to_peer> outbox;
  gang_watch watch(machines, outbox);
  job_row row;
  row.id = "j";
  row.epoch = 3;
  row.state = job_state::kRunning;
  row.members = {{"w1", "w1", 1, {8, 0, 0}}};
  const millis start(1000000);

  SUBCASE("one that is new here is asked after, then only when it is silent") {
    watch.AskIfSilent(row, start);
    REQUIRE(outbox.size() == 1);
    CHECK(outbox[0].peer == "w1");
    CHECK(std::get<gang_query>(outbox[0].message).gang.epoch == 3);
    watch.AskIfSilent(row, start + millis(59999));
    CHECK(outbox.size() == 1);
    watch.AskIfSilent(row, start + millis(60000));
    CHECK(outbox.size() == 2);
    SUBCASE("not again before two seconds have passed") {
      watch.AskIfSilent(row, start + millis(61999));
      CHECK(outbox.size() == 2);
      watch.AskIfSilent(row, start + millis(62000));
      CHECK(outbox.size() == 3);
    }
    SUBCASE("not after a report") {
      watch.Reported("j", start + millis(60001));
      watch.AskIfSilent(row, start + millis(70000));
      CHECK(outbox.size() == 2);
    }
  }

  SUBCASE("a start has two seconds for its first report") {
    row.state = job_state::kStarting;
    watch.Begin("j", start);
    watch.AskIfSilent(row, start + millis(1999));
    CHECK(outbox.empty());
    watch.AskIfSilent(row, start + millis(2000));
    CHECK(outbox.size() == 1);
  }

  SUBCASE("one whose anchor was restarted is asked after at once") {
    watch.Begin("j", start);
    watch.AskSoon("j", start + millis(1));
    watch.AskIfSilent(row, start + millis(1));
    CHECK(outbox.size() == 1);
  }

  SUBCASE("a stop is said again each second") {
    watch.Stop(row, millis(500), "reclaimed", start);
    watch.Stop(row, millis(500), "reclaimed", start + millis(999));
    CHECK(outbox.size() == 1);
    watch.Stop(row, millis(500), "reclaimed", start + millis(1000));
    REQUIRE(outbox.size() == 2);
    CHECK(std::get<gang_stop>(outbox[1].message).checkpoint_ms == 500);
  }

  SUBCASE("members of an anchor's former life have stopped after its lease") {
    CHECK(!watch.BarredLongEnough("j", start));
    CHECK(!watch.BarredLongEnough("j", start + millis(3999)));
    CHECK(watch.BarredLongEnough("j", start + millis(4000)));
  }

  SUBCASE("one whose anchor is away for two minutes is lost") {
    watch.AskIfSilent(row, start);
    CHECK(!watch.Lost(row, start + millis(500000)));
    machines.Find("w1")->connected = false;
    machines.Find("w1")->lost_at = start;
    CHECK(!watch.Lost(row, start + millis(119999)));
    CHECK(watch.Lost(row, start + millis(120000)));
    SUBCASE("but not while its region cannot be seen") {
      machines.Find("w2")->connected = false;
      CHECK(!watch.Lost(row, start + millis(120000)));
    }
    SUBCASE("but not if it has reported since through another connection") {
      watch.Reported("j", start + millis(1));
      CHECK(!watch.Lost(row, start + millis(120000)));
    }
  }
}

}  // namespace
}  // namespace eelgrass
