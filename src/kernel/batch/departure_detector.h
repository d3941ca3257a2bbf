/** \file
 * Finds out early which workers that have fallen silent are gone for good.
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

/** A worker on which runs may be and that is not heard. */
struct silent_worker {
  worker_identity self;
  std::string vm;         // on which this life said it is; empty: not known
  millis known_since{0};  // since when this life is known
};

/**
 * A silent worker may be cut off and run on, so that what ran there may start elsewhere only when
 * its lease has lapsed. A worker whose VM is down, or carries another life, runs nothing: the
 * platform's list of VMs tells, and what it ran can start again seconds earlier. The list is read
 * only while some silent worker is in question. Without an answer the leases decide as before.
 *
 * The list is read page by page, so that one reading may leave out a VM that is there. One reading
 * proves a worker gone by a record of its VM alone; that no record names the worker has to be seen
 * twice in a row, without an entry that could not be read.
 */
class departure_detector {
 public:
  /** The request to make now, if any of these workers is in question. Called at every decision. */
  std::optional<vm_listing_request> Next(std::span<const silent_worker> silent, millis now);

  /** A worker lives: what a list under way leaves out of it proves nothing. */
  void OnWorkerReported(std::string_view worker);

  /** Of the workers that have been silent since the list was asked for, those that are gone. */
  std::vector<worker_identity> On(const vm_listing& listing);

  void Reset() { *this = departure_detector(); }

 private:
  /** Where a worker was last seen in a list. */
  struct sighting {
    std::string vm;
    millis requested{0};  // when the list was
  };
  /** A complete list without the worker. */
  struct absence {
    worker_identity self;
    millis requested{0};
  };

  std::string VmOf(const silent_worker& worker) const;
  bool ProvedGone(const silent_worker& worker, const vm_listing& listing);
  bool RecordAbsence(const silent_worker& worker, const vm_listing& listing);
  void RecordSightings(const vm_listing& listing);

  std::map<std::string, silent_worker, std::less<>>
      requested_for_;  // that the request under way is for
  std::map<std::string, sighting, std::less<>> sightings_;
  std::map<std::string, absence, std::less<>> absences_;
  std::optional<millis> requested_at_;  // the request under way
  millis next_{0};
};

}  // namespace eelgrass
