/** \file
 * Detects early which silent workers have ended.
 */
#pragma once

#include <map>
#include <optional>
#include <span>
#include <string>
#include <vector>

#include "kernel/base/millis.h"
#include "kernel/model/vm_listing.h"
#include "kernel/model/worker_messages.h"

namespace eelgrass {

/** A worker that may have runs and sends no reports. */
struct silent_worker {
  worker_identity self;
  std::string vm;         // as reported by this incarnation; empty: not known
  millis known_since{0};  // when this incarnation was first known
};

/**
 * A silent worker may be partitioned and still running, so its runs may start elsewhere only after
 * its lease has expired. A worker whose VM is down or hosts another worker runs nothing; the
 * platform's list of VMs shows this, so that the runs can restart seconds earlier. The list is read
 * only while there is a silent worker. Without an answer the leases decide.
 *
 * The list is read page by page and may therefore omit an existing VM. A record of the worker's VM
 * in one list is proof. If no record names the worker, two lists in a row without unreadable
 * entries are needed.
 */
class departure_detector {
 public:
  /** The request that is due, if any worker is silent. Called at every decision. */
  std::optional<vm_listing_request> Next(std::span<const silent_worker> silent, millis now);

  /** The worker is alive: a list requested earlier proves nothing about it. */
  void OnWorkerReported(std::string_view worker);

  /** The workers that were silent since the list was requested and that it proves to have ended. */
  std::vector<worker_identity> On(const vm_listing& listing);

  void Reset() { *this = departure_detector(); }

 private:
  /** The VM on which a list last showed a worker. */
  struct sighting {
    std::string vm;
    millis requested{0};  // when the list was requested
  };
  /** A complete list that does not name the worker. */
  struct absence {
    worker_identity self;
    millis requested{0};
  };

  std::string VmOf(const silent_worker& worker) const;
  bool ProvedGone(const silent_worker& worker, const vm_listing& listing);
  bool RecordAbsence(const silent_worker& worker, const vm_listing& listing);
  void RecordSightings(const vm_listing& listing);

  std::map<std::string, silent_worker, std::less<>> requested_for_;  // by the pending request
  std::map<std::string, sighting, std::less<>> sightings_;
  std::map<std::string, absence, std::less<>> absences_;
  std::optional<millis> requested_at_;  // time of the pending request
  millis next_{0};
};

}  // namespace eelgrass
