#include "plugins/front/rest/rest_replies.h"

#include "kernel/base/http_status.h"
#include "kernel/encoding/json_fields.h"

namespace eelgrass {
namespace {

using json = nlohmann::json;

json Members(const std::vector<gang_member>& members) {
  json list = json::array();
  for (const auto& member : members) {
    list.push_back({{"worker", member.agent}, {"tasks", member.tasks}, {"amount", member.amount}});
  }
  return list;
}

json JobFields(const job_row& job) {
  return {{"id", job.id},
          {"spec", job.spec},
          {"state", JobStateName(job.state)},
          {"epoch", job.epoch},
          {"borrowing", job.borrowing},
          {"cancel_wanted", job.cancel_wanted},
          {"submitted_ms", job.submitted_ms},
          {"started_ms", job.started_ms},
          {"ended_ms", job.ended_ms},
          {"saved_ms", job.saved_ms},
          {"members", Members(job.members)},
          {"failed_workers", job.failed_workers},
          {"reason", job.reason}};
}

json ChangeFields(const change_record& change) {
  return {{"id", change.id},
          {"author", change.author},
          {"reviewer", change.reviewer},
          {"note", change.note},
          {"base", change.base},
          {"due_ms", change.due_ms},
          {"review_needed", change.review_needed},
          {"emergency", change.emergency},
          {"state", ChangeStateName(change.state)},
          {"applied_version", change.applied_version},
          {"reason", change.reason}};
}

json IssueFields(const document_issues& issues) {
  json list = json::array();
  for (const auto& issue : issues) {
    list.push_back({{"pointer", issue.pointer},
                    {"problem", issue.problem},
                    {"allowed", issue.allowed},
                    {"severity", issue.warning ? "warning" : "error"}});
  }
  return list;
}

json Fields(const job_list& view) {
  json list = json::array();
  for (const auto& job : view.jobs) list.push_back(JobFields(job));
  return {{"jobs", list}};
}

json Fields(const job_detail& view) {
  json fields = JobFields(view.job);
  fields["explanation"] = {{"state", view.explanation.state},
                           {"position", view.explanation.position},
                           {"needs", view.explanation.needs},
                           {"why", view.explanation.why}};
  return fields;
}

json Fields(const config_detail& view) {
  const auto& config = view.config;
  return {{"version", config.version},
          {"change", config.change},
          {"author", config.author},
          {"at_ms", config.at_ms},
          {"document", json::parse(config.text)}};
}

json Fields(const change_detail& view) {
  json fields = ChangeFields(view.change);
  fields["document"] = json::parse(view.change.text, nullptr, false);
  return fields;
}

json Fields(const change_list& view) {
  json list = json::array();
  for (const auto& change : view.changes) list.push_back(ChangeFields(change));
  return {{"changes", list}};
}

json Fields(const plan_detail& view) {
  json differences = json::array();
  for (const auto& item : view.differences) {
    const auto value = [](const std::string& text) {
      return text.empty() ? json() : json::parse(text);
    };
    differences.push_back(
        {{"place", item.place}, {"before", value(item.before)}, {"after", value(item.after)}});
  }
  return {{"valid", view.valid},
          {"issues", IssueFields(view.issues)},
          {"differences", differences},
          {"suspended_guarantees_now", view.suspended_now},
          {"suspended_guarantees_then", view.suspended_then},
          {"jobs_affected", view.jobs_affected}};
}

json Fields(const process_version_list& view) {
  json list = json::array();
  for (const auto& process : view.processes) {
    list.push_back({{"id", process.id},
                    {"role", process.role},
                    {"version", process.version},
                    {"heard_ms", process.heard_ms}});
  }
  return {{"version", view.version}, {"processes", list}};
}

json Fields(const worker_list& view) {
  json list = json::array();
  for (const auto& worker : view.workers) {
    list.push_back({{"id", worker.id},
                    {"domain", worker.domain},
                    {"rack", worker.rack},
                    {"state", worker.state},
                    {"capacity", worker.capacity},
                    {"own", worker.own},
                    {"borrowed", worker.borrowed},
                    {"jobs", worker.jobs}});
  }
  return {{"workers", list}};
}

json Fields(const upstream_list& view) {
  json list = json::array();
  for (const auto& line : view.upstreams) {
    list.push_back({{"id", line.id},
                    {"service", line.service},
                    {"domain", line.domain},
                    {"state", line.state},
                    {"slots", line.slots}});
  }
  return {{"upstreams", list}};
}

json Fields(const domain_list& view) {
  json list = json::array();
  for (const auto& line : view.domains) {
    list.push_back({{"name", line.name},
                    {"region", line.region},
                    {"out", line.out},
                    {"mode", line.mode},
                    {"next_window_ms", line.next_window_ms},
                    {"workers", line.workers},
                    {"running", line.running}});
  }
  return {{"domains", list}};
}

json Fields(const status_detail& view) {
  json entries = json::array();
  for (const auto& entry : view.entries) {
    entries.push_back({{"id", entry.id},
                       {"address", entry.address},
                       {"domain", entry.domain},
                       {"version", entry.version},
                       {"leaving", entry.leaving}});
  }
  json guarantees = json::array();
  for (const auto& line : view.guarantees) {
    guarantees.push_back({{"organisation", line.organisation},
                          {"shape", line.shape},
                          {"within", line.within},
                          {"cells", line.cells},
                          {"suspended", line.suspended}});
  }
  const auto& jobs = view.jobs;
  return {{"entry", view.entry},
          {"planner", view.planner},
          {"version", view.version},
          {"store_down", view.store_down},
          {"fresh", view.fresh},
          {"workers", view.workers},
          {"upstreams", view.upstreams},
          {"jobs",
           {{"waiting", jobs.waiting},
            {"active", jobs.active},
            {"starts", jobs.starts},
            {"aborted_starts", jobs.aborted_starts},
            {"evictions", jobs.evictions},
            {"requeued", jobs.requeued},
            {"suspended_guarantees", jobs.suspended_guarantees}}},
          {"entries", entries},
          {"guarantees", guarantees}};
}

http_response JsonResponse(int status, const json& fields) {
  http_response response;
  response.status = status;
  response.headers.push_back({"Content-Type", "application/json"});
  response.body.data = fields.dump(2, ' ', false, json::error_handler_t::replace) + "\n";
  return response;
}

}  // namespace

int StatusOf(error_kind kind) {
  switch (kind) {
    case error_kind::kInvalid:
      return 422;
    case error_kind::kConflict:
      return 409;
    case error_kind::kNotFound:
      return 404;
    case error_kind::kUnavailable:
    case error_kind::kRefused:
    case error_kind::kExhausted:
      return 503;
    case error_kind::kUnknown:
      return 504;
  }
  return 500;
}

http_response ProblemResponse(int status, const error& problem, const document_issues& issues) {
  json fields = {{"type", "about:blank"}, {"title", ErrorKindName(problem.kind)},
                 {"status", status},      {"detail", problem.detail},
                 {"step", problem.step},  {"peer", problem.peer}};
  if (!issues.empty()) fields["issues"] = IssueFields(issues);
  http_response response = JsonResponse(status, fields);
  response.headers.front().value = "application/problem+json";
  return response;
}

http_response ViewResponse(const operator_reply& view) {
  if (const auto* refused = std::get_if<refusal>(&view)) {
    return ProblemResponse(StatusOf(refused->problem.kind), refused->problem, refused->issues);
  }
  const auto* detail = std::get_if<job_detail>(&view);
  const int status =
      detail != nullptr && detail->accepted ? http_status::kCreated : http_status::kOk;
  return std::visit(
      [status](const auto& v) {
        if constexpr (std::is_same_v<std::decay_t<decltype(v)>, refusal>) {
          return http_response{};
        } else {
          return JsonResponse(status, Fields(v));
        }
      },
      view);
}

}  // namespace eelgrass
