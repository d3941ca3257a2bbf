/** \file
 * Sends requests to entries and checks what callers were told against what the stand-ins have run.
 */
#include <chrono>
#include <future>
#include <iostream>
#include <map>
#include <nlohmann/json.hpp>
#include <thread>

#include "daemons/node/common_settings.h"
#include "kernel/base/log_event.h"
#include "kernel/base/system_clock.h"
#include "standins/open_loop.h"

namespace eelgrass {
namespace {

using json = nlohmann::json;

constexpr int64_t kAllowedPartialMs = 4500;  // a gang's lease, the worker's polling and a margin

std::vector<setting_spec> LoadSettings() {
  return {AddressSetting("entries", "127.0.0.1:8080", true, "entries to call"),
          TextSetting("weights", "", "share of each entry, with commas"),
          AddressSetting("platform", "127.0.0.1:7000", false, "the stand-in"),
          TextSetting("tokens", "", "organisations' tokens, with commas"),
          TextSetting("path", "/v1/services/orders/work/20", "path to call"),
          IntSetting("requests", 1000, 0, 10000000, "requests in all"),
          IntSetting("rate", 200, 1, 1000000, "requests a second"),
          IntSetting("idempotent", 50, 0, 100, "percent of GETs; the others are POSTs"),
          IntSetting("keyed", 30, 0, 100, "percent of POSTs with an idempotency key"),
          IntSetting("deadline-ms", 10000, 1, 120000, "callers' deadline"),
          IntSetting("slots", 8, 1, 10000, "slots of each upstream"),
          IntSetting("seed", 1, 0, 1000000000, "seed of the random numbers"),
          TextSetting("prefix", "r", "prefix of the request ids"),
          TextSetting("jobs-token", "", "operator's token, to check jobs too"),
          IntSetting("jobs-wait-s", 0, 0, 3600, "longest wait for all jobs to end")};
}

std::string Fetch(http_client& client, const std::string& url, const std::string& token) {
  constexpr millis kTimeout{10000};
  http_call call;
  call.method = "GET";
  call.url = url;
  call.timeout = kTimeout;
  if (!token.empty()) call.headers.push_back({"Authorization", "Bearer " + token});
  std::promise<result<http_response>> done;
  auto answer = done.get_future();
  client.Start(std::move(call),
               [&done](result<http_response> reply) { done.set_value(std::move(reply)); });
  auto reply = answer.get();
  return reply ? reply.value().body.data : "{}";
}

load_options MakeOptions(const settings& values) {
  load_options options;
  for (const auto& entry : values.list("entries")) options.urls.push_back("http://" + entry);
  for (const auto& weight : values.list("weights")) {
    options.url_weights.push_back(std::atoi(weight.c_str()));
  }
  options.tokens = values.list("tokens");
  options.path = values.text("path");
  options.requests = static_cast<int>(values.number("requests"));
  options.rate = static_cast<double>(values.number("rate"));
  options.idempotent_percent = static_cast<int>(values.number("idempotent"));
  options.keyed_percent = static_cast<int>(values.number("keyed"));
  options.deadline_ms = values.number("deadline-ms");
  options.seed = static_cast<uint64_t>(values.number("seed"));
  options.prefix = values.text("prefix");
  return options;
}

int ReportRequests(const settings& values, http_client& client) {
  open_loop loop(MakeOptions(values), client);
  const load_result done = loop.Run();
  const json log =
      json::parse(Fetch(client, "http://" + values.text("platform") + "/control/executions", ""));
  std::vector<execution> executions;
  for (const auto& item : log.value("executions", json::array())) {
    executions.push_back({item["upstream"], item["request"], item["attempt"], item["finished"]});
  }
  const auto most = log.value("most_at_once", std::map<std::string, int>());
  const int slots = static_cast<int>(values.number("slots"));
  const request_findings found = CheckRequests(done.told, executions, most, slots);
  std::map<std::string, int> outcomes;
  for (const auto& told : done.told) ++outcomes[told.outcome.empty() ? "no-answer" : told.outcome];
  std::cout << "requests " << done.told.size() << " in " << done.seconds << " s:";
  for (const auto& [outcome, count] : outcomes) std::cout << " " << outcome << " " << count;
  std::cout << "\nlatency ms: p50 " << done.Quantile(0.5) << " p95 " << done.Quantile(0.95)
            << " p99 " << done.Quantile(0.99) << " max " << done.Quantile(1) << "; late "
            << done.late << "\nviolations: lost " << found.lost << ", doubled " << found.doubled
            << ", false not-run " << found.false_not_run << ", crossed " << found.crossed
            << ", over slots " << found.over_slots << "\n";
  return found.total();
}

bool AllEnded(const json& jobs) {
  for (const auto& job : jobs) {
    const std::string state = job["state"];
    const bool open =
        state == "queued" || state == "starting" || state == "running" || state == "stopping";
    if (open) return false;
  }
  return true;
}

json FetchJobs(const settings& values, http_client& client) {
  const std::string url = "http://" + values.list("entries").front() + "/v1/jobs";
  const json tree = json::parse(Fetch(client, url, values.text("jobs-token")), nullptr, false);
  return tree.is_object() ? tree.value("jobs", json::array()) : json::array();
}

int ReportJobs(const settings& values, http_client& client) {
  constexpr std::chrono::milliseconds kPollPause{200};
  const system_clock time;
  const millis until = time.Now() + millis(values.number("jobs-wait-s") * 1000);
  json jobs = FetchJobs(values, client);
  while ((jobs.empty() || !AllEnded(jobs)) && time.Now() < until) {
    std::this_thread::sleep_for(kPollPause);
    jobs = FetchJobs(values, client);
  }
  std::map<std::string, int> states;
  std::map<std::string, expected_job> expected;
  for (const auto& job : jobs) {
    ++states[job["state"].get<std::string>()];
    expected[job["id"]] = {job["spec"]["tasks"], false};
  }
  const json log =
      json::parse(Fetch(client, "http://" + values.text("platform") + "/control/tasks", ""));
  std::vector<task_run> runs;
  for (const auto& run : log.value("runs", json::array())) {
    runs.push_back({run["worker"], run["job"], run["epoch"], run["tasks"], run["opened_ms"],
                    run["ended_ms"], run["success"], 0});
  }
  const gang_findings found = CheckGangs(runs, expected, kAllowedPartialMs, time.Now().count());
  std::cout << "jobs " << jobs.size() << ":";
  for (const auto& [state, count] : states) std::cout << " " << state << " " << count;
  std::cout << "\nviolations: gangs doubled " << found.doubled << ", partial " << found.partial
            << "\n";
  const int open = AllEnded(jobs) ? 0 : 1;
  if (open > 0) std::cout << "not all jobs have ended\n";
  return found.total() + open;
}

}  // namespace
}  // namespace eelgrass

int main(int argc, char** argv) {
  using namespace eelgrass;  // NOLINT(google-build-using-namespace)
  const auto specs = LoadSettings();
  int exit_code = 0;
  const std::span<const char* const> arguments(argv, static_cast<size_t>(argc));
  const auto values = ParseOrExplain(
      arguments, specs, "Sends requests and checks the outcomes that callers are told.", exit_code);
  if (!values) return exit_code;
  StartLogging(argv[0]);
  client_options options;
  options.ring_capacity = 65536;
  options.max_connections = 1024;
  auto client = client_registry::Instance().Create("curl", options);
  if (!client) return ReportStartFailure(client.error());
  int violations = 0;
  if (values->number("requests") > 0) violations += ReportRequests(*values, *client.value());
  if (!values->text("jobs-token").empty()) violations += ReportJobs(*values, *client.value());
  return violations == 0 ? 0 : 1;
}
