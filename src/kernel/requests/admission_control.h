/** \file
 * Admission of callers' requests at an entry.
 */
#pragma once

#include <map>
#include <memory>
#include <optional>
#include <string>
#include <string_view>

#include "kernel/base/error.h"
#include "kernel/model/document.h"
#include "kernel/requests/admission_policy.h"
#include "kernel/requests/caller_request.h"
#include "kernel/requests/fair_queue.h"
#include "kernel/requests/upstream_table.h"

namespace eelgrass {

/** Response to a request that is not admitted. */
struct admission_refusal {
  int status = 0;  // HTTP status
  error problem;
};

/**
 * Refuses a request if its body is too large, if its organisation has too many open requests, or
 * if the admission policy refuses it. Counts the open requests of each organisation.
 */
class admission_control {
 public:
  admission_control(std::unique_ptr<admission_policy> admission, const upstream_table& upstreams);

  /** Returns nothing if the request is admitted. `queue` is the queue of its service. */
  std::optional<admission_refusal> Check(const caller_request& request,
                                         const service_entry& service, const document& doc,
                                         const fair_queue& queue) const;

  /** Counts a request of the organisation as opened, or as answered. */
  void CountOpened(std::string_view organisation) { ++open_requests_[std::string(organisation)]; }
  void CountClosed(std::string_view organisation) { --open_requests_[std::string(organisation)]; }

 private:
  int OpenRequests(std::string_view organisation) const;

  const std::unique_ptr<admission_policy> policy_;
  const upstream_table& upstreams_;
  std::map<std::string, int, std::less<>> open_requests_;  // requests by organisation
};

/** The organisation's weight in fair queueing; 1 if the document does not contain it. */
int WeightOf(const document& doc, std::string_view organisation);

}  // namespace eelgrass
