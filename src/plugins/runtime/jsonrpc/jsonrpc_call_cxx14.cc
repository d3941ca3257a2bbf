#include <json/json.h>
#include <jsonrpccpp/client.h>
#include <jsonrpccpp/client/connectors/httpclient.h>

#include <sstream>

#include "plugins/runtime/jsonrpc/jsonrpc_call.h"

namespace eelgrass {

struct jsonrpc_caller::parts {
  explicit parts(const std::string& url) : connector(url), client(connector) {}
  jsonrpc::HttpClient connector;
  jsonrpc::Client client;
};

jsonrpc_caller::jsonrpc_caller(const std::string& url, long timeout_ms) : parts_(new parts(url)) {
  parts_->connector.SetTimeout(timeout_ms);
}

jsonrpc_caller::~jsonrpc_caller() = default;

bool jsonrpc_caller::Call(const std::string& method, const std::string& parameters,
                          std::string& answer) {
  try {
    Json::Value arguments;
    std::istringstream(parameters) >> arguments;
    Json::Value reply;
    parts_->client.CallMethod(method, arguments, reply);
    Json::StreamWriterBuilder writer;
    writer["indentation"] = "";
    answer = Json::writeString(writer, reply);
    return true;
  } catch (const std::exception& problem) {
    answer = problem.what();
    return false;
  }
}

}  // namespace eelgrass
