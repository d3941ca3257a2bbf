#include "daemons/ctl/ctl_views.h"

#include <ctime>
#include <map>
#include <nlohmann/json.hpp>
#include <ostream>

#include "daemons/ctl/ctl_table.h"

namespace eelgrass {
namespace {

using json = nlohmann::json;

constexpr int kFirstErrorStatus = 400;
constexpr int kUnknownStatus = 504;

std::string TextOf(const json& value) {
  if (value.is_string()) return value.get<std::string>();
  if (value.is_array()) {
    std::string joined;
    for (const auto& item : value) joined += (joined.empty() ? "" : ",") + TextOf(item);
    return joined.empty() ? "-" : joined;
  }
  return value.dump();
}

std::string Time(const json& value) {
  constexpr int64_t kMillisPerSecond = 1000;
  const int64_t at = value.get<int64_t>();
  if (at == 0) return "-";
  const time_t seconds = at / kMillisPerSecond;
  std::tm parts{};
  gmtime_r(&seconds, &parts);
  char text[32];
  std::strftime(text, sizeof(text), "%Y-%m-%dT%H:%M:%SZ", &parts);
  return text;
}

std::string Amount(const json& value) {
  return std::to_string(value.value("accelerators", 0)) + "a/" +
         std::to_string(value.value("cores", 0)) + "c/" +
         std::to_string(value.value("memory_gb", 0)) + "g";
}

void ShowJobs(const json& tree, std::ostream& out) {
  ctl_table table(
      {"ID", "ORGANISATION", "CLASS", "STATE", "TASKS", "EACH", "EPOCH", "SUBMITTED", "REASON"});
  for (const auto& job : tree["jobs"]) {
    const json& spec = job["spec"];
    table.Add({TextOf(job["id"]), TextOf(spec["organisation"]), TextOf(spec["job_class"]),
               TextOf(job["state"]), TextOf(spec["tasks"]), Amount(spec["per_task"]),
               TextOf(job["epoch"]), Time(job["submitted_ms"]), TextOf(job["reason"])});
  }
  table.Print(out);
}

void ShowJob(const json& job, std::ostream& out) {
  out << "job        " << TextOf(job["id"]) << "\n"
      << "name       " << TextOf(job["spec"]["name"]) << "\n"
      << "state      " << TextOf(job["state"]) << (job["borrowing"] == true ? " (borrowing)" : "")
      << "\n"
      << "needs      " << TextOf(job["explanation"]["needs"]) << "\n"
      << "submitted  " << Time(job["submitted_ms"]) << "\n"
      << "started    " << Time(job["started_ms"]) << " (start " << TextOf(job["epoch"]) << ")\n"
      << "ended      " << Time(job["ended_ms"]) << "\n";
  for (const auto& member : job["members"]) {
    out << "runs on    " << TextOf(member["worker"]) << ": " << TextOf(member["tasks"])
        << " tasks, " << Amount(member["amount"]) << "\n";
  }
  out << "why        " << TextOf(job["explanation"]["why"]) << "\n";
}

void ShowChanges(const json& tree, std::ostream& out) {
  ctl_table table(
      {"ID", "STATE", "DUE", "AUTHOR", "REVIEWER", "BASE", "VERSION", "NOTE", "REASON"});
  for (const auto& change : tree["changes"]) {
    const bool waits = change["review_needed"] == true && change["state"] == "booked";
    table.Add({TextOf(change["id"]), TextOf(change["state"]) + (waits ? " (needs review)" : ""),
               Time(change["due_ms"]), TextOf(change["author"]), TextOf(change["reviewer"]),
               TextOf(change["base"]), TextOf(change["applied_version"]), TextOf(change["note"]),
               TextOf(change["reason"])});
  }
  table.Print(out);
}

void ShowChange(const json& change, std::ostream& out) {
  out << "change " << TextOf(change["id"]) << " is " << TextOf(change["state"]);
  if (change["applied_version"] != 0) out << " as version " << TextOf(change["applied_version"]);
  out << "\n";
  if (change["due_ms"] != 0) out << "due " << Time(change["due_ms"]) << "\n";
  if (change["reason"] != "") out << "reason: " << TextOf(change["reason"]) << "\n";
}

void ShowIssues(const json& issues, std::ostream& out) {
  for (const auto& issue : issues) {
    out << TextOf(issue["severity"]) << " at '" << TextOf(issue["pointer"])
        << "': " << TextOf(issue["problem"]) << "; allowed: " << TextOf(issue["allowed"]) << "\n";
  }
}

void ShowPlan(const json& plan, std::ostream& out) {
  out << (plan["valid"] == true ? "valid" : "not valid") << "\n";
  ShowIssues(plan["issues"], out);
  for (const auto& item : plan["differences"]) {
    out << TextOf(item["place"]) << "\n  - " << item["before"].dump() << "\n  + "
        << item["after"].dump() << "\n";
  }
  out << "guaranteed shapes without capacity: " << TextOf(plan["suspended_guarantees_now"])
      << " now, " << TextOf(plan["suspended_guarantees_then"]) << " then\n"
      << "running jobs affected: " << TextOf(plan["jobs_affected"]) << "\n";
}

void ShowEverywhere(const json& tree, std::ostream& out) {
  out << "version here: " << TextOf(tree["version"]) << "\n";
  ctl_table table({"PROCESS", "ROLE", "VERSION", "HEARD MS AGO"});
  for (const auto& process : tree["processes"]) {
    table.Add({TextOf(process["id"]), TextOf(process["role"]), TextOf(process["version"]),
               TextOf(process["heard_ms"])});
  }
  table.Print(out);
}

void ShowWorkers(const json& tree, std::ostream& out) {
  ctl_table table({"ID", "DOMAIN", "RACK", "STATE", "CAPACITY", "OWN", "BORROWED", "JOBS"});
  for (const auto& worker : tree["workers"]) {
    table.Add({TextOf(worker["id"]), TextOf(worker["domain"]), TextOf(worker["rack"]),
               TextOf(worker["state"]), Amount(worker["capacity"]), Amount(worker["own"]),
               Amount(worker["borrowed"]), TextOf(worker["jobs"])});
  }
  table.Print(out);
}

void ShowUpstreams(const json& tree, std::ostream& out) {
  ctl_table table({"ID", "SERVICE", "DOMAIN", "STATE", "SLOTS"});
  for (const auto& line : tree["upstreams"]) {
    table.Add({TextOf(line["id"]), TextOf(line["service"]), TextOf(line["domain"]),
               TextOf(line["state"]), TextOf(line["slots"])});
  }
  table.Print(out);
}

void ShowDomains(const json& tree, std::ostream& out) {
  ctl_table table({"NAME", "REGION", "STATE", "NEXT WINDOW", "WORKERS", "RUNNING JOBS"});
  for (const auto& line : tree["domains"]) {
    const std::string state = line["out"] == true ? "out (" + TextOf(line["mode"]) + ")" : "in";
    table.Add({TextOf(line["name"]), TextOf(line["region"]), state, Time(line["next_window_ms"]),
               TextOf(line["workers"]), TextOf(line["running"])});
  }
  table.Print(out);
}

void ShowStatus(const json& tree, std::ostream& out) {
  out << "entry        " << TextOf(tree["entry"]) << "\n"
      << "planner      " << TextOf(tree["planner"]) << "\n"
      << "version      " << TextOf(tree["version"])
      << (tree["fresh"] == true ? "" : " (not known to be the latest)") << "\n"
      << "table store  " << (tree["store_down"] == true ? "does not answer" : "answers") << "\n"
      << "workers      " << TextOf(tree["workers"]) << "\n"
      << "upstreams    " << TextOf(tree["upstreams"]) << "\n"
      << "jobs         " << TextOf(tree["jobs"]["waiting"]) << " waiting, "
      << TextOf(tree["jobs"]["active"]) << " active\n";
  ctl_table table({"ORGANISATION", "GUARANTEED SHAPE", "WITHIN", "CELLS", "SUSPENDED"});
  for (const auto& line : tree["guarantees"]) {
    table.Add({TextOf(line["organisation"]), Amount(line["shape"]), TextOf(line["within"]),
               TextOf(line["cells"]), TextOf(line["suspended"])});
  }
  table.Print(out);
}

using printer = void (*)(const json&, std::ostream&);

printer FindPrinter(std::string_view view) {
  static const std::map<std::string_view, printer> kPrinters = {
      {"jobs", ShowJobs},       {"job", ShowJob},
      {"changes", ShowChanges}, {"change", ShowChange},
      {"plan", ShowPlan},       {"everywhere", ShowEverywhere},
      {"workers", ShowWorkers}, {"upstreams", ShowUpstreams},
      {"domains", ShowDomains}, {"status", ShowStatus}};
  const auto found = kPrinters.find(view);
  return found == kPrinters.end() ? nullptr : found->second;
}

ctl_exit ShowProblem(const ctl_reply& reply, const json& tree, std::ostream& problems) {
  if (tree.is_object() && tree.contains("detail")) {
    problems << TextOf(tree["title"]) << ": " << TextOf(tree["detail"]) << " (step "
             << TextOf(tree["step"]) << ", peer " << TextOf(tree["peer"]) << ")\n";
    if (tree.contains("issues")) ShowIssues(tree["issues"], problems);
  } else {
    problems << "status " << reply.status << "\n" << reply.body;
  }
  return reply.status == kUnknownStatus ? ctl_exit::kUnknown : ctl_exit::kRefused;
}

}  // namespace

ctl_exit ShowReply(const ctl_session& session, const result<ctl_reply>& reply,
                   std::string_view view, std::ostream& out, std::ostream& problems) {
  if (!reply) {
    problems << ToString(reply.error()) << "\n";
    const bool unknown = reply.error().kind == error_kind::kUnknown;
    return unknown ? ctl_exit::kUnknown : ctl_exit::kUnreachable;
  }
  const json tree = json::parse(reply.value().body, nullptr, false);
  if (reply.value().status >= kFirstErrorStatus) return ShowProblem(reply.value(), tree, problems);
  const printer print = FindPrinter(view);
  if (session.json() || print == nullptr || tree.is_discarded()) {
    out << reply.value().body;
  } else {
    print(tree, out);
  }
  return ctl_exit::kDone;
}

}  // namespace eelgrass
