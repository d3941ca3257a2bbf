#include <doctest/doctest.h>

#include "kernel/jobs/serving_workers.h"

namespace eelgrass {
namespace {

TEST_CASE("which workers may be given work") {
  cluster machines;
  failure_tracker failures;
  serving_workers serving(machines, failures);
  document doc;
  doc.domains.push_back({"d", "z", false, window_mode::kMove, {}});
  for (const char* id : {"w1", "w2"}) {
    machines.MarkConnected({id, 1, peer_role::kWorkerAgent, id, "d", {}, {}});
    announce offer;
    offer.capacity = {8, 32, 128};
    machines.ApplyAnnouncement(id, offer);
  }
  const millis now(100000);
  serving.CollectUsable(doc, now);
  CHECK(serving.usable().size() == 2);
  CHECK(serving.BackingWorkers(now).size() == 2);

  SUBCASE("one that has just gone takes none, and backs guarantees for half a minute") {
    machines.Find("w1")->connected = false;
    machines.Find("w1")->disconnected_at = now;
    serving.CollectUsable(doc, now);
    CHECK(serving.usable().size() == 1);
    CHECK(serving.BackingWorkers(now + millis(29999)).size() == 2);
    CHECK(serving.BackingWorkers(now + millis(30000)).size() == 1);
  }

  SUBCASE("one that leaves takes none and backs nothing") {
    machines.Find("w1")->leaving = true;
    serving.CollectUsable(doc, now);
    CHECK(serving.usable().size() == 1);
    CHECK(serving.BackingWorkers(now).size() == 1);
  }

  SUBCASE("one of a domain that the document does not name takes none") {
    serving.CollectUsable(document{}, now);
    CHECK(serving.usable().empty());
  }

  SUBCASE("none of a domain that is out") {
    doc.domains[0].out = true;
    CHECK(serving.UpdateDomains(doc, now, now));
    CHECK(!serving.UpdateDomains(doc, now, now));
    CHECK(serving.Out("d"));
    serving.CollectUsable(doc, now);
    CHECK(serving.usable().empty());
    CHECK(serving.BackingWorkers(now).empty());

    SUBCASE("and one after another when it comes back") {
      doc.domains[0].out = false;
      CHECK(serving.UpdateDomains(doc, now, now));
      serving.CollectUsable(doc, now);
      CHECK(serving.usable() == std::set<std::string, std::less<>>{"w1"});
      serving.CollectUsable(doc, now + millis(200));
      CHECK(serving.usable().size() == 2);
    }
  }
}

}  // namespace
}  // namespace eelgrass
