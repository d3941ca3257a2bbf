#include <doctest/doctest.h>

#include "kernel/base/http_status.h"
#include "kernel/requests/admission_control.h"

namespace eelgrass {
namespace {

/** Admits what is told to, and keeps what it was asked. */
class told_admission : public admission_policy {
 public:
  explicit told_admission(const bool& admits) : admits_(admits) {}
  bool Admit(const admission_input& view) const override {
    return admits_ && view.queued <= view.max_queue;
  }

 private:
  const bool& admits_;
};

TEST_CASE("a request at the gate") {
  bool admits = true;
  const upstream_table upstreams;
  admission_control gate(std::make_unique<told_admission>(admits), upstreams);
  document doc;
  organisation owner;
  owner.name = "small";
  owner.max_connections = 2;
  doc.organisations.push_back(owner);
  service_entry service;
  service.name = "orders";
  service.max_body = 4;
  caller_request request;
  request.organisation = "small";
  request.service = "orders";
  const fair_queue queue;

  SUBCASE("comes in") { CHECK(!gate.Check(request, service, doc, queue)); }

  SUBCASE("is refused with a body that is too large, not with the largest one allowed") {
    request.body.data = "1234";
    CHECK(!gate.Check(request, service, doc, queue));
    request.body.data = "12345";
    const auto refusal = gate.Check(request, service, doc, queue);
    REQUIRE(refusal);
    CHECK(refusal->status == http_status::kContentTooLarge);
  }

  SUBCASE("is refused when its organisation has as many open as it may") {
    gate.CountOpened("small");
    CHECK(!gate.Check(request, service, doc, queue));
    gate.CountOpened("small");
    const auto refusal = gate.Check(request, service, doc, queue);
    REQUIRE(refusal);
    CHECK(refusal->status == http_status::kTooManyRequests);
    SUBCASE("others are not") {
      request.organisation = "other";
      CHECK(!gate.Check(request, service, doc, queue));
    }
    SUBCASE("and comes in once one was answered") {
      gate.CountClosed("small");
      CHECK(!gate.Check(request, service, doc, queue));
    }
  }

  SUBCASE("is refused when the admission policy says so") {
    admits = false;
    const auto refusal = gate.Check(request, service, doc, queue);
    REQUIRE(refusal);
    CHECK(refusal->status == http_status::kServiceUnavailable);
    CHECK(refusal->problem.kind == error_kind::kExhausted);
  }
}

}  // namespace
}  // namespace eelgrass
