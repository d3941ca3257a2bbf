#include <doctest/doctest.h>

#include "kernel/jobs/job_outcome_handler.h"

namespace eelgrass {
namespace {

TEST_CASE("what becomes of a job whose gang has ended") {
  runtime_estimator estimator;
  failure_tracker failures;
  job_outcome_handler settler(estimator, failures);
  job_class kind;
  kind.idempotent = true;
  kind.max_attempts = 2;
  job_outcome_handler::job_context at{&kind, millis(1000), millis(5000)};
  job_row row;
  row.id = "j";
  row.state = job_state::kRunning;
  row.members = {{"w1", "w1", 1, {8, 0, 0}}};
  row.spec.declared_ms = millis(1000);
  gang_report report;
  report.gang = {"j", 1};

  SUBCASE("it has done its work") {
    report.state = gang_state::kFinished;
    report.ran_ms = 3000;
    const job_row next = settler.AfterReport(row, report, at);
    CHECK(next.state == job_state::kFinished);
    CHECK(next.ended_ms == 5000);
    CHECK(next.members.empty());
    CHECK(estimator.Estimate(row.spec) > millis(1000));
  }

  SUBCASE("it failed on a worker") {
    report.state = gang_state::kFailed;
    report.failed_worker = "w1";
    report.ran_ms = 10;
    SUBCASE("and may run again elsewhere") {
      const job_row next = settler.AfterReport(row, report, at);
      CHECK(next.state == job_state::kQueued);
      CHECK(next.failed_workers == std::vector<std::string>{"w1"});
    }
    SUBCASE("and on as many before as its class allows: it waits for its owner") {
      failures.RecordFailure("j", "w2", at.now);
      CHECK(settler.AfterReport(row, report, at).state == job_state::kParked);
    }
    SUBCASE("and must not run twice") {
      kind.idempotent = false;
      CHECK(settler.AfterReport(row, report, at).state == job_state::kFailed);
      SUBCASE("but it had not begun") {
        report.ran_ms = 0;
        CHECK(settler.AfterReport(row, report, at).state == job_state::kQueued);
      }
    }
    SUBCASE("and its owner has cancelled it") {
      row.cancel_wanted = true;
      CHECK(settler.AfterReport(row, report, at).state == job_state::kCancelled);
    }
  }

  SUBCASE("it was stopped") {
    report.state = gang_state::kStopped;
    report.ran_ms = 700;
    SUBCASE("with its work saved: it waits again, whatever its class") {
      kind.idempotent = false;
      report.saved_ms = 700;
      row.saved_ms = 300;
      const job_row next = settler.AfterReport(row, report, at);
      CHECK(next.state == job_state::kQueued);
      CHECK(next.saved_ms == 1000);
      CHECK(settler.requeued() == 1);
    }
    SUBCASE("without: only an idempotent one waits again") {
      CHECK(settler.AfterReport(row, report, at).state == job_state::kQueued);
      kind.idempotent = false;
      CHECK(settler.AfterReport(row, report, at).state == job_state::kUnknown);
    }
    SUBCASE("by its time limit: it has failed") {
      report.reason = "time limit";
      const job_row next = settler.AfterReport(row, report, at);
      CHECK(next.state == job_state::kFailed);
      CHECK(next.reason == "time limit");
      CHECK(settler.requeued() == 0);
    }
  }

  SUBCASE("nobody knows how far it came, and its class is gone from the document") {
    at.kind = nullptr;
    const job_row next = settler.AfterUnknownOutcome(row, "lost", at);
    CHECK(next.state == job_state::kUnknown);
    CHECK(next.reason == "lost");
    CHECK(next.members.empty());
  }
}

}  // namespace
}  // namespace eelgrass
