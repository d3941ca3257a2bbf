/** \file
 * Which requests an entry takes in.
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

/** Why a request is not taken in. */
struct admission_refusal {
  int status = 0;  // HTTP status
  error problem;
};

/**
 * Refuses requests that are too large, that are too many of their organisation, or that the
 * admission policy expects to miss their deadline. Counts the open ones of each organisation.
 */
class admission_control {
 public:
  admission_control(std::unique_ptr<admission_policy> admission, const upstream_table& upstreams);

  /** Nothing if the request may come in. `queue` is its service's. */
  std::optional<admission_refusal> Check(const caller_request& request,
                                         const service_entry& service, const document& doc,
                                         const fair_queue& queue) const;

  /** A request of the organisation has come in, or was answered. */
  void CountOpened(std::string_view organisation) { ++open_requests_[std::string(organisation)]; }
  void CountClosed(std::string_view organisation) { --open_requests_[std::string(organisation)]; }

 private:
  int OpenRequests(std::string_view organisation) const;

  const std::unique_ptr<admission_policy> policy_;
  const upstream_table& upstreams_;
  std::map<std::string, int, std::less<>> open_requests_;  // requests by organisation
};

/** The organisation's share of what is contended; 1 if the document does not know it. */
int WeightOf(const document& doc, std::string_view organisation);

}  // namespace eelgrass
