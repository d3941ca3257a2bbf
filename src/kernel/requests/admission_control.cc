#include "kernel/requests/admission_control.h"

#include <utility>

#include "kernel/base/http_status.h"

namespace eelgrass {
namespace {

constexpr int kDefaultConnections = 2048;  // open requests per organisation

admission_refusal Refusal(int status, error_kind kind, std::string detail) {
  return {status, {kind, "admit", "", std::move(detail)}};
}

}  // namespace

admission_control::admission_control(std::unique_ptr<admission_policy> admission,
                                     const upstream_table& upstreams)
    : policy_(std::move(admission)), upstreams_(upstreams) {}

std::optional<admission_refusal> admission_control::Check(const caller_request& request,
                                                          const service_entry& service,
                                                          const document& doc,
                                                          const fair_queue& queue) const {
  if (static_cast<int64_t>(request.body.data.size()) > service.max_body) {
    return Refusal(http_status::kContentTooLarge, error_kind::kInvalid,
                   "the body is larger than " + std::to_string(service.max_body) + " bytes");
  }
  const organisation* owner = doc.FindOrganisation(request.organisation);
  const int limit =
      owner != nullptr && owner->max_connections > 0 ? owner->max_connections : kDefaultConnections;
  if (OpenRequests(request.organisation) >= limit) {
    return Refusal(http_status::kTooManyRequests, error_kind::kExhausted, "too many open requests");
  }
  admission_input input;
  input.queued = queue.size();
  input.queued_ahead = queue.CountAhead(request.organisation, WeightOf(doc, request.organisation));
  input.max_queue = service.max_queue;
  input.slots = upstreams_.UsableSlots(request.service);
  input.mean_service_ms = upstreams_.MeanServiceMs(request.service);
  input.deadline = request.deadline > millis(0) ? request.deadline : service.default_deadline_ms;
  if (policy_->Admit(input)) return std::nullopt;
  return Refusal(http_status::kServiceUnavailable, error_kind::kExhausted,
                 "the queue is too long for the deadline");
}

int admission_control::OpenRequests(std::string_view organisation) const {
  const auto found = open_requests_.find(organisation);
  return found == open_requests_.end() ? 0 : found->second;
}

int WeightOf(const document& doc, std::string_view organisation_name) {
  const organisation* owner = doc.FindOrganisation(organisation_name);
  return owner != nullptr ? owner->weight : 1;
}

}  // namespace eelgrass
