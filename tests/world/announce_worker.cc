#include "tests/world/announce_worker.h"

namespace eelgrass {

void AnnounceWorker(cluster& machines, const ledger_worker& worker) {
  machines.MarkConnected({worker.id, 1, peer_role::kWorkerAgent, worker.id, worker.domain, {}, {}});
  announce offer;
  offer.rack = worker.rack;
  offer.region = worker.region;
  offer.capacity = worker.capacity;
  machines.ApplyAnnouncement(worker.id, offer);
}

}  // namespace eelgrass
