#include <doctest/doctest.h>

#include "kernel/encoding/burn_json.h"
#include "kernel/report/burn_format.h"
#include "kernel/report/report_core.h"

namespace eelgrass {
namespace {

constexpr millis kHour{3600000};
constexpr millis kStart{1767225600000};

document Objectives() {
  document doc;
  doc.objectives.push_back({"", "orders", 0.99, millis(1000)});
  return doc;
}

burn_sample Sample(bool good, millis latency = millis(10)) {
  return {"secadero", "orders", good, latency, good ? "" : "run-attempt", good ? "" : "u3"};
}

TEST_CASE("an objective's burn") {
  burn_table table;

  SUBCASE("is one when just the budget is used") {
    for (int i = 0; i < 100; ++i) table.Add(Sample(i != 0), kStart);
    const auto report = MakeBurnReport(table, Objectives(), kStart);
    REQUIRE(report.lines.size() == 1);
    CHECK(report.lines[0].windows[1].rate == doctest::Approx(1.0));
    CHECK(report.lines[0].budget_left == doctest::Approx(0.0));
    CHECK(report.lines[0].alert.empty());
  }
  SUBCASE("pages when the short and the long window both burn fast") {
    for (int i = 0; i < 100; ++i) table.Add(Sample(i % 2 == 0), kStart);
    CHECK(MakeBurnReport(table, Objectives(), kStart).lines[0].alert == "page");
    SUBCASE("but not once it is over") {
      const auto later = MakeBurnReport(table, Objectives(), kStart + kHour / 2);
      CHECK(later.lines[0].alert != "page");
    }
  }
  SUBCASE("names the worst cause") {
    for (int i = 0; i < 7; ++i) table.Add(Sample(false), kStart);
    const auto report = MakeBurnReport(table, Objectives(), kStart);
    CHECK(report.lines[0].causes[0].first == "run-attempt u3");
    CHECK(report.lines[0].causes[0].second == 7);
  }
  SUBCASE("forgets what is older than three days, and keeps counts when minutes become hours") {
    table.Add(Sample(true), kStart);
    table.Add(Sample(false), kStart + kHour * 60);
    table.Compact(kStart + kHour * 70);
    CHECK(MakeBurnReport(table, Objectives(), kStart + kHour * 70).lines[0].windows[3].good == 1);
    table.Compact(kStart + kHour * 73);
    const auto report = MakeBurnReport(table, Objectives(), kStart + kHour * 73);
    CHECK(report.lines[0].windows[3].good == 0);
    CHECK(report.lines[0].windows[3].bad == 1);
  }
}

TEST_CASE("an entry's report") {
  report_core core("burn-e1-1");
  std::vector<report_action> actions;
  const auto decide = [&](report_event event, millis now) {
    actions.clear();
    core.Decide({&event, 1}, now, kStart + now, actions);
  };
  decide(document_changed{std::make_shared<document>(Objectives())}, millis(0));

  SUBCASE("counts an answer that is too slow as bad") {
    decide(Sample(true, millis(1500)), millis(10));
    decide(report_wanted{7, "text"}, millis(20));
    const auto& answer = std::get<report_answer>(actions.at(0));
    CHECK(answer.report.lines.at(0).windows[0].bad == 1);
    CHECK(answer.report.lines.at(0).causes[0].first.rfind("slow-answer", 0) == 0);
  }
  SUBCASE("joins what a replaced entry has left in the object store") {
    burn_table left;
    for (int i = 0; i < 5; ++i) left.Add(Sample(false), kStart);
    decide(snapshot_names{{"burn-e1-1", "burn-e0-1"}}, millis(10));
    REQUIRE(actions.size() == 1);
    CHECK(std::get<read_snapshot>(actions[0]).name == "burn-e0-1");
    const auto read = ParseBurnTable(BurnTableText(left));
    REQUIRE(read.has_value());
    for (int i = 0; i < 2; ++i) decide(snapshot_read{"burn-e0-1", read.value()}, millis(20));
    decide(report_wanted{7, "text"}, millis(30));
    CHECK(std::get<report_answer>(actions.at(0)).report.lines.at(0).windows[0].bad == 5);
  }
}

TEST_CASE("each format shows the report") {
  burn_table table;
  table.Add({"<script>", "orders", false, millis(1), "step", "peer"}, kStart);
  const auto report = MakeBurnReport(table, Objectives(), kStart);
  for (const auto& name : burn_format_registry::Instance().names()) {
    CAPTURE(name);
    const std::string text = burn_format_registry::Instance().Create(name).value()->Write(report);
    CHECK(text.find("orders") != std::string::npos);
    if (name == "html") CHECK(text.find("<script>") == std::string::npos);
  }
  CHECK(burn_format_registry::Instance().names().size() == 3);
}

}  // namespace
}  // namespace eelgrass
