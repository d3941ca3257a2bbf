/** \file
 * All stand-ins behind one HTTP server.
 */
#pragma once

#include <map>
#include <memory>
#include <mutex>
#include <string>

#include "kernel/io/http_front.h"
#include "standins/delayed_calls.h"
#include "standins/fault_switch.h"
#include "standins/memory_table.h"
#include "standins/standin_service.h"
#include "standins/standin_worker.h"

namespace eelgrass {

/**
 * /tables and /objects: the platform's store. /upstreams/NAME/...: an upstream service.
 * /workers/NAME: a worker's JSON-RPC. /control/...: faults and logs for tests.
 */
class standin_platform : public http_handler {
 public:
  standin_platform(http_front& server, const clock& time);

  void Handle(http_request request) override;

 private:
  struct named_worker {
    std::shared_ptr<standin_worker> worker;
    std::unique_ptr<rpc_server> server;
  };

  void Control(const http_request& request);
  void Store(const http_request& request);
  http_response StoreReply(const http_request& request);
  http_response Objects(const http_request& request);
  void Upstream(const http_request& request);
  void Worker(const http_request& request);
  named_worker& WorkerOf(const std::string& name);
  std::string Executions() const;
  std::string Tasks() const;
  void Respond(uint64_t id, http_response response);

  http_front& server_;
  const clock& clock_;
  delayed_calls later_;
  std::mutex mutex_;
  memory_table table_;
  std::map<std::string, std::string, std::less<>> objects_;
  std::map<std::string, named_worker, std::less<>> workers_;
  std::map<std::string, fault_switch, std::less<>> faults_;  // "store" or an upstream's name
  standin_service service_;
  task_log tasks_;
};

}  // namespace eelgrass
