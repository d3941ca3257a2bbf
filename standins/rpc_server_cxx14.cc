#include <json/json.h>
#include <jsonrpccpp/server.h>

#include <sstream>

#include "standins/rpc_server.h"

namespace eelgrass {
namespace {

/** Takes requests as text; nothing listens. */
class text_connector : public jsonrpc::AbstractServerConnector {
 public:
  bool StartListening() override { return true; }
  bool StopListening() override { return true; }
  bool SendResponse(const std::string&, void*) override { return true; }
};

std::string Write(const Json::Value& value) {
  Json::StreamWriterBuilder writer;
  writer["indentation"] = "";
  return Json::writeString(writer, value);
}

/** Binds each method to the target. */
class worker_server : public jsonrpc::AbstractServer<worker_server> {
 public:
  worker_server(jsonrpc::AbstractServerConnector& connector, rpc_target& target)
      : AbstractServer(connector, jsonrpc::JSONRPC_SERVER_V2), target_(target) {
    Bind("start_tasks", &worker_server::StartTasks);
    Bind("open_gate", &worker_server::OpenGate);
    Bind("stop_tasks", &worker_server::StopTasks);
    Bind("renew_tasks", &worker_server::RenewTasks);
    Bind("poll_events", &worker_server::PollEvents);
  }

 private:
  using method = void (worker_server::*)(const Json::Value&, Json::Value&);

  void Bind(const std::string& name, method call) {
    bindAndAddMethod(
        jsonrpc::Procedure(name, jsonrpc::PARAMS_BY_NAME, jsonrpc::JSON_OBJECT, nullptr), call);
  }

  void Forward(const std::string& name, const Json::Value& parameters, Json::Value& reply) {
    std::istringstream(target_.Call(name, Write(parameters))) >> reply;
  }

  void StartTasks(const Json::Value& in, Json::Value& out) { Forward("start_tasks", in, out); }
  void OpenGate(const Json::Value& in, Json::Value& out) { Forward("open_gate", in, out); }
  void StopTasks(const Json::Value& in, Json::Value& out) { Forward("stop_tasks", in, out); }
  void RenewTasks(const Json::Value& in, Json::Value& out) { Forward("renew_tasks", in, out); }
  void PollEvents(const Json::Value& in, Json::Value& out) { Forward("poll_events", in, out); }

  rpc_target& target_;
};

}  // namespace

struct rpc_server::parts {
  explicit parts(rpc_target& target) : server(connector, target) { server.StartListening(); }
  text_connector connector;
  worker_server server;
};

rpc_server::rpc_server(rpc_target& target) : parts_(new parts(target)) {}

rpc_server::~rpc_server() = default;

std::string rpc_server::Answer(const std::string& request) {
  std::string response;
  parts_->connector.GetHandler()->HandleRequest(request, response);
  return response;
}

}  // namespace eelgrass
