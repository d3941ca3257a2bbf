#include "plugins/front/rest/rest_routes.h"

#include <charconv>
#include <string>
#include <utility>
#include <vector>

#include "kernel/base/digest.h"
#include "kernel/control/commands/apply_change_command.h"
#include "kernel/control/commands/book_change_command.h"
#include "kernel/control/commands/cancel_job_command.h"
#include "kernel/control/commands/list_changes_command.h"
#include "kernel/control/commands/list_domains_command.h"
#include "kernel/control/commands/list_jobs_command.h"
#include "kernel/control/commands/list_upstreams_command.h"
#include "kernel/control/commands/list_workers_command.h"
#include "kernel/control/commands/plan_change_command.h"
#include "kernel/control/commands/review_change_command.h"
#include "kernel/control/commands/set_domain_command.h"
#include "kernel/control/commands/show_change_command.h"
#include "kernel/control/commands/show_config_command.h"
#include "kernel/control/commands/show_job_command.h"
#include "kernel/control/commands/show_process_versions_command.h"
#include "kernel/control/commands/show_status_command.h"
#include "kernel/control/commands/submit_job_command.h"
#include "kernel/control/commands/withdraw_change_command.h"
#include "kernel/encoding/document_json.h"

namespace eelgrass {
namespace {

using command_result = result<std::unique_ptr<operator_command>>;

constexpr int kKeyBytes = 16;
constexpr size_t kMaxKeyLength = 200;

std::vector<std::string> SplitPath(std::string_view path) {
  std::vector<std::string> parts;
  while (!path.empty()) {
    const size_t slash = path.find('/');
    if (slash != 0) parts.emplace_back(path.substr(0, slash));
    path = slash == std::string_view::npos ? std::string_view() : path.substr(slash + 1);
  }
  return parts;
}

auto NoRoute() {
  return Fail(error_kind::kNotFound, "route-request", "", "there is no such path or method");
}

int64_t Number(std::string_view text) {
  int64_t value = 0;
  std::from_chars(text.data(), text.data() + text.size(), value);
  return value;
}

/** The client's key for the request, or a fresh one. */
result<std::string> KeyOf(const http_request& request) {
  const std::string_view key = request.Header("Idempotency-Key");
  if (key.size() > kMaxKeyLength) {
    return Fail(error_kind::kInvalid, "read-key", "", "the idempotency key is longer than 200");
  }
  return key.empty() ? RandomHex(kKeyBytes) : std::string(key);
}

result<change_request> ReadChange(const http_request& request) {
  BOOST_OUTCOME_TRY(key, KeyOf(request));
  constexpr size_t kIdLength = 12;
  change_request change;
  change.id = "c" + Sha256Hex(key).substr(0, kIdLength);
  change.text = request.body.data;
  change.note = request.Header("Eelgrass-Note");
  change.due_ms = Number(request.Parameter("due_ms"));
  return change;
}

command_result RouteJobs(const http_request& request, const std::vector<std::string>& parts) {
  if (parts.size() == 2 && request.method == "POST") {
    BOOST_OUTCOME_TRY(spec, ParseJobSpec(request.body.view()));
    BOOST_OUTCOME_TRY(key, KeyOf(request));
    return std::make_unique<submit_job_command>(std::move(spec), std::move(key));
  }
  if (parts.size() == 2 && request.method == "GET") {
    return std::make_unique<list_jobs_command>(std::string(request.Parameter("state")));
  }
  if (parts.size() == 3 && request.method == "GET") {
    return std::make_unique<show_job_command>(parts[2]);
  }
  if (parts.size() == 3 && request.method == "DELETE") {
    return std::make_unique<cancel_job_command>(parts[2]);
  }
  return NoRoute();
}

command_result RouteConfig(const http_request& request, const std::vector<std::string>& parts) {
  const bool get = request.method == "GET";
  if (parts.size() == 2 && get) {
    return std::make_unique<show_config_command>(Number(request.Parameter("version")));
  }
  if (parts.size() == 2 && request.method == "PUT") {
    BOOST_OUTCOME_TRY(change, ReadChange(request));
    return std::make_unique<apply_change_command>(std::move(change));
  }
  if (parts.size() == 3 && parts[2] == "plan" && request.method == "POST") {
    return std::make_unique<plan_change_command>(request.body.data);
  }
  if (parts.size() == 3 && parts[2] == "everywhere" && get) {
    return std::make_unique<show_process_versions_command>();
  }
  return NoRoute();
}

command_result RouteChanges(const http_request& request, const std::vector<std::string>& parts) {
  const bool get = request.method == "GET";
  const bool post = request.method == "POST";
  if (parts.size() == 2 && get) return std::make_unique<list_changes_command>();
  if (parts.size() == 2 && post) {
    BOOST_OUTCOME_TRY(change, ReadChange(request));
    return std::make_unique<book_change_command>(std::move(change));
  }
  if (parts.size() == 3 && get) return std::make_unique<show_change_command>(parts[2]);
  if (parts.size() == 4 && post && parts[3] == "review") {
    return std::make_unique<review_change_command>(parts[2]);
  }
  if (parts.size() == 4 && post && parts[3] == "withdraw") {
    return std::make_unique<withdraw_change_command>(parts[2]);
  }
  return NoRoute();
}

command_result RouteDomains(const http_request& request, const std::vector<std::string>& parts) {
  if (parts.size() == 2 && request.method == "GET") {
    return std::make_unique<list_domains_command>();
  }
  const bool changes =
      parts.size() == 4 && request.method == "POST" && (parts[3] == "out" || parts[3] == "in");
  if (!changes) return NoRoute();
  BOOST_OUTCOME_TRY(change, ReadChange(request));
  const std::string_view mode = request.Parameter("mode");
  window_mode chosen = window_mode::kMove;
  if (mode == "drain") chosen = window_mode::kDrain;
  if (mode == "stop") chosen = window_mode::kStop;
  return std::make_unique<set_domain_command>(parts[2], parts[3] == "out", chosen, change.id);
}

}  // namespace

command_result RouteCommand(const http_request& request) {
  const auto parts = SplitPath(request.path());
  if (parts.size() < 2 || parts[0] != "v1") return NoRoute();
  const bool get = parts.size() == 2 && request.method == "GET";
  if (parts[1] == "jobs") return RouteJobs(request, parts);
  if (parts[1] == "config") return RouteConfig(request, parts);
  if (parts[1] == "changes") return RouteChanges(request, parts);
  if (parts[1] == "domains") return RouteDomains(request, parts);
  if (parts[1] == "workers" && get) return std::make_unique<list_workers_command>();
  if (parts[1] == "upstreams" && get) return std::make_unique<list_upstreams_command>();
  if (parts[1] == "status" && get) return std::make_unique<show_status_command>();
  return NoRoute();
}

}  // namespace eelgrass
