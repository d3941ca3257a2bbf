/** \file
 * The platform's worker over JSON-RPC (libjsonrpccpp).
 */
#include <nlohmann/json.hpp>

#include "kernel/io/worker_runtime.h"
#include "plugins/runtime/jsonrpc/jsonrpc_call.h"

namespace eelgrass {
namespace {

using json = nlohmann::json;

json GangFields(const gang_id& gang) { return {{"job", gang.job}, {"epoch", gang.epoch}}; }

/** Methods start_tasks, open_gate, stop_tasks, renew_tasks and poll_events. */
class jsonrpc_runtime : public worker_runtime {
 public:
  explicit jsonrpc_runtime(runtime_options options)
      : options_(std::move(options)),
        caller_(options_.url, static_cast<long>(options_.timeout.count())) {}

  result<void> Start(const start_tasks& order) override {
    json fields = GangFields(order.gang);
    fields["tasks"] = order.tasks;
    fields["run_ms"] = order.run_ms;
    fields["fails"] = order.fails;
    return Order("start_tasks", fields);
  }

  result<void> OpenGate(const open_gate& order) override {
    return Order("open_gate", GangFields(order.gang));
  }

  result<void> Stop(const stop_tasks& order) override {
    json fields = GangFields(order.gang);
    fields["checkpoint_ms"] = order.checkpoint_ms;
    return Order("stop_tasks", fields);
  }

  result<void> Renew(const renew_tasks& order) override {
    return Order("renew_tasks", {{"lease_ms", order.lease_ms}});
  }

  result<std::vector<runtime_event>> Poll() override {
    BOOST_OUTCOME_TRY(reply, Call("poll_events", {{"after", last_event_}}));
    std::vector<runtime_event> events;
    for (const auto& item : reply) {
      last_event_ = std::max(last_event_, item.value("number", int64_t{0}));
      const gang_id gang{item.value("job", ""), item.value("epoch", int64_t{0})};
      const std::string what = item.value("event", "");
      const bool good = item.value("good", false);
      if (what == "started") {
        events.emplace_back(tasks_started{gang, good, item.value("reason", "")});
      }
      if (what == "ended") events.emplace_back(tasks_ended{gang, good, item.value("reason", "")});
      if (what == "stopped") events.emplace_back(tasks_stopped{gang, good});
    }
    return events;
  }

 private:
  result<void> Order(const std::string& method, const json& fields) {
    BOOST_OUTCOME_TRY(Call(method, fields));
    return Ok();
  }

  result<json> Call(const std::string& method, const json& fields) {
    std::string answer;
    if (!caller_.Call(method, fields.dump(), answer)) {
      return Fail(error_kind::kUnknown, method, options_.url, answer);
    }
    json reply = json::parse(answer, nullptr, false);
    if (reply.is_discarded()) {
      return Fail(error_kind::kInvalid, method, options_.url, "the answer is not JSON");
    }
    return reply;
  }

  const runtime_options options_;
  jsonrpc_caller caller_;
  int64_t last_event_ = 0;
};

const runtime_registration<jsonrpc_runtime> kRegistration("jsonrpc");

}  // namespace
}  // namespace eelgrass
