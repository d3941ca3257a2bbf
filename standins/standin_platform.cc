#include "standins/standin_platform.h"

#include <nlohmann/json.hpp>

namespace eelgrass {
namespace {

using json = nlohmann::json;

constexpr std::string_view kUpstreams = "/upstreams/";
constexpr std::string_view kWorkers = "/workers/";
constexpr std::string_view kObjects = "/objects/";
constexpr std::string_view kControl = "/control/";
constexpr std::string_view kStore = "store";
constexpr size_t kScanLimit = 2000;

bool StartsWith(std::string_view text, std::string_view prefix) {
  return text.substr(0, prefix.size()) == prefix;
}

http_response Text(int status, std::string body) {
  http_response response;
  response.status = status;
  response.headers.push_back({"Content-Type", "application/json"});
  response.body.data = std::move(body);
  return response;
}

json RowFields(const std::vector<memory_row>& rows) {
  json list = json::array();
  for (const auto& row : rows) {
    list.push_back({{"key", row.key}, {"revision", row.revision}, {"value", row.value}});
  }
  return list;
}

/** The part of a path between a prefix and the next slash. */
std::string NameIn(std::string_view path, std::string_view prefix) {
  const std::string_view rest = path.substr(prefix.size());
  return std::string(rest.substr(0, rest.find('/')));
}

}  // namespace

standin_platform::standin_platform(http_front& server, const clock& time)
    : server_(server), clock_(time), later_(time) {}

void standin_platform::Handle(http_request request) {
  const std::string_view path = request.path();
  if (StartsWith(path, kControl)) return Control(request);
  if (StartsWith(path, kUpstreams)) return Upstream(request);
  if (StartsWith(path, kWorkers)) return Worker(request);
  Store(request);
}

void standin_platform::Respond(uint64_t id, http_response response) {
  server_.Respond(id, std::move(response));
}

void standin_platform::Control(const http_request& request) {
  const std::string_view path = request.path();
  std::lock_guard lock(mutex_);
  if (path == "/control/faults") {
    faults_[std::string(request.Parameter("target"))].Set(request.query());
    return Respond(request.id, Text(200, "{}"));
  }
  if (path == "/control/fail_worker") {
    WorkerOf(std::string(request.Parameter("name")))
        .worker->SetFailAll(request.Parameter("fails") == "1");
    return Respond(request.id, Text(200, "{}"));
  }
  if (path == "/control/executions") return Respond(request.id, Text(200, Executions()));
  if (path == "/control/tasks") return Respond(request.id, Text(200, Tasks()));
  Respond(request.id, Text(404, "{}"));
}

std::string standin_platform::Executions() const {
  json list = json::array();
  for (const auto& item : service_.executions()) {
    list.push_back({{"upstream", item.upstream},
                    {"request", item.request},
                    {"attempt", item.attempt},
                    {"finished", item.finished}});
  }
  return json{{"executions", list}, {"most_at_once", service_.most_at_once()}}.dump();
}

std::string standin_platform::Tasks() const {
  json list = json::array();
  for (const auto& run : tasks_.runs()) {
    list.push_back({{"worker", run.worker},
                    {"job", run.job},
                    {"epoch", run.epoch},
                    {"tasks", run.tasks},
                    {"opened_ms", run.opened_ms},
                    {"ended_ms", run.ended_ms},
                    {"success", run.success}});
  }
  return json{{"runs", list}}.dump();
}

void standin_platform::Store(const http_request& request) {
  std::lock_guard lock(mutex_);
  const fault_state fault = faults_[std::string(kStore)].state();
  if (fault.down) return Respond(request.id, Text(503, "{}"));
  http_response reply = StoreReply(request);
  if (fault.lose_answers && request.method != "GET") return;
  if (fault.delay == millis(0)) return Respond(request.id, std::move(reply));
  later_.After(fault.delay,
               [this, id = request.id, reply = std::move(reply)] { Respond(id, reply); });
}

http_response standin_platform::StoreReply(const http_request& request) {
  const std::string_view path = request.path();
  if (path == "/tables" && request.method == "GET") {
    const int64_t since = std::atoll(std::string(request.Parameter("since")).c_str());
    const auto rows = table_.Changed(since, kScanLimit);
    const bool more = rows.size() >= kScanLimit;
    return Text(
        200,
        json{{"revision", table_.revision()}, {"more", more}, {"rows", RowFields(rows)}}.dump());
  }
  if (path == "/tables/txn" && request.method == "POST") {
    const json tree = json::parse(request.body.data, nullptr, false);
    if (tree.is_discarded() || !tree.contains("writes")) return Text(400, "{}");
    std::vector<memory_write> writes;
    for (const auto& write : tree["writes"]) {
      writes.push_back(
          {write.value("key", ""), write.value("expected", int64_t{0}), write.value("value", "")});
    }
    std::vector<memory_row> conflicts;
    const bool written = table_.Write(writes, conflicts);
    std::erase_if(conflicts, [](const memory_row& row) { return row.revision == 0; });
    return Text(written ? 200 : 409,
                json{{"revision", table_.revision()}, {"rows", RowFields(conflicts)}}.dump());
  }
  if (StartsWith(path, kObjects)) return Objects(request);
  return Text(404, "{}");
}

http_response standin_platform::Objects(const http_request& request) {
  const std::string name(request.path().substr(kObjects.size()));
  if (request.method == "PUT") {
    objects_[name] = request.body.data;
    return Text(200, "{}");
  }
  if (name.empty()) {
    json names = json::array();
    for (const auto& [known, content] : objects_) {
      if (StartsWith(known, request.Parameter("prefix"))) names.push_back(known);
    }
    return Text(200, json{{"names", names}}.dump());
  }
  const auto found = objects_.find(name);
  return found == objects_.end() ? Text(404, "{}") : Text(200, found->second);
}

void standin_platform::Upstream(const http_request& request) {
  const std::string name = NameIn(request.path(), kUpstreams);
  fault_state fault;
  {
    std::lock_guard lock(mutex_);
    fault = faults_[name].state();
  }
  if (fault.down) return Respond(request.id, Text(503, "{}"));
  millis duration{0};
  const size_t index = service_.Begin(name, request, duration);
  later_.After(duration + fault.delay, [this, index, id = request.id, fault] {
    http_response response = service_.End(index);
    if (!fault.lose_answers) Respond(id, std::move(response));
  });
}

standin_platform::named_worker& standin_platform::WorkerOf(const std::string& name) {
  named_worker& known = workers_[name];
  if (!known.worker) {
    known.worker = std::make_shared<standin_worker>(name, clock_, later_, tasks_);
    known.server = std::make_unique<rpc_server>(*known.worker);
  }
  return known;
}

void standin_platform::Worker(const http_request& request) {
  std::lock_guard lock(mutex_);
  named_worker& known = WorkerOf(NameIn(request.path(), kWorkers));
  Respond(request.id, Text(200, known.server->Answer(request.body.data)));
}

}  // namespace eelgrass
