#include <doctest/doctest.h>

#include "kernel/jobs/gang_monitor.h"

namespace eelgrass {
namespace {

TEST_CASE("the gangs of a worker that says nothing") {
  cluster machines;
  for (const char* id : {"w1", "w2"}) {
    machines.MarkConnected({id, 1, peer_role::kWorkerAgent, id, "d", {}, {}});
    announce offer;
    offer.region = "z";
    machines.ApplyAnnouncement(id, offer);
  }
  std::vector<send_to_peer> outbox;
  gang_monitor watch(machines, outbox);
  job_row row;
  row.id = "j";
  row.epoch = 3;
  row.state = job_state::kRunning;
  row.members = {{"w1", "w1", 1, {8, 0, 0}}};
  const millis start(1000000);

  SUBCASE("one that is new here is asked after, then only when it is silent") {
    watch.QueryIfSilent(row, start);
    REQUIRE(outbox.size() == 1);
    CHECK(outbox[0].peer == "w1");
    CHECK(std::get<gang_query>(outbox[0].message).gang.epoch == 3);
    watch.QueryIfSilent(row, start + millis(59999));
    CHECK(outbox.size() == 1);
    watch.QueryIfSilent(row, start + millis(60000));
    CHECK(outbox.size() == 2);
    SUBCASE("not again before two seconds have passed") {
      watch.QueryIfSilent(row, start + millis(61999));
      CHECK(outbox.size() == 2);
      watch.QueryIfSilent(row, start + millis(62000));
      CHECK(outbox.size() == 3);
    }
    SUBCASE("not after a report") {
      watch.RecordReport("j", start + millis(60001));
      watch.QueryIfSilent(row, start + millis(70000));
      CHECK(outbox.size() == 2);
    }
  }

  SUBCASE("a start has two seconds for its first report") {
    row.state = job_state::kStarting;
    watch.Begin("j", start);
    watch.QueryIfSilent(row, start + millis(1999));
    CHECK(outbox.empty());
    watch.QueryIfSilent(row, start + millis(2000));
    CHECK(outbox.size() == 1);
  }

  SUBCASE("one whose anchor was restarted is asked after at once") {
    watch.Begin("j", start);
    watch.QueryNow("j", start + millis(1));
    watch.QueryIfSilent(row, start + millis(1));
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
    CHECK(!watch.MemberLeasesExpired("j", start));
    CHECK(!watch.MemberLeasesExpired("j", start + millis(3999)));
    CHECK(watch.MemberLeasesExpired("j", start + millis(4000)));
  }

  SUBCASE("one whose anchor is away for two minutes is lost") {
    watch.QueryIfSilent(row, start);
    CHECK(!watch.AnchorLost(row, start + millis(500000)));
    machines.Find("w1")->connected = false;
    machines.Find("w1")->disconnected_at = start;
    CHECK(!watch.AnchorLost(row, start + millis(119999)));
    CHECK(watch.AnchorLost(row, start + millis(120000)));
    SUBCASE("but not while its region cannot be seen") {
      machines.Find("w2")->connected = false;
      CHECK(!watch.AnchorLost(row, start + millis(120000)));
    }
    SUBCASE("but not if it has reported since through another connection") {
      watch.RecordReport("j", start + millis(1));
      CHECK(!watch.AnchorLost(row, start + millis(120000)));
    }
  }
}

}  // namespace
}  // namespace eelgrass
