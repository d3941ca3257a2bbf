/** \file
 * What the platform's plug-ins stand between, as stories need it: no sockets.
 */
#pragma once

#include <memory>
#include <string>
#include <utility>
#include <vector>

#include "kernel/base/error.h"
#include "kernel/batch/operator_source.h"
#include "kernel/io/http_client.h"
#include "kernel/io/http_front.h"
#include "kernel/io/job_front.h"
#include "kernel/io/row_store.h"
#include "kernel/io/vm_directory.h"
#include "kernel/io/worker_control.h"

namespace eelgrass {

/** Keeps what is answered; nothing listens. */
class fake_server : public http_front {
 public:
  result<void> Start(http_handler& handler) override {
    handler_ = &handler;
    return Ok();
  }
  int port() const override { return 0; }
  void Respond(uint64_t, http_response response) override {
    answers.push_back(std::move(response));
  }
  size_t open_requests() const override { return 0; }
  void Stop() override {}

  void Ask(std::string method, std::string target, std::string body) {
    http_request request;
    request.id = 1;
    request.method = std::move(method);
    request.target = std::move(target);
    request.body.data = std::move(body);
    request.headers = {{"Host", "nony.example:80"},
                       {"Authorization", "Bearer k1"},
                       {"X-Eelgrasshaven-Deadline-Ms", "2500"}};
    handler_->Handle(std::move(request));
  }

  std::vector<http_response> answers;

 private:
  http_handler* handler_ = nullptr;
};

struct fake_callers : caller_listener {
  bool OnCall(caller_call call) override {
    calls.push_back(std::move(call));
    return true;
  }
  std::vector<caller_call> calls;
};

struct fake_workers : beat_listener {
  bool OnBeat(worker_heartbeat beat) override {
    beats.push_back(std::move(beat));
    return true;
  }
  bool OnLeft(worker_departure left) override {
    gone.push_back(std::move(left));
    return true;
  }
  std::vector<worker_heartbeat> beats;
  std::vector<worker_departure> gone;
};

/** Remembers the call and answers it as told. */
class fake_client : public http_client {
 public:
  void Start(http_call call, callback done) override {
    calls.push_back(std::move(call));
    done(answer);
  }
  void Stop() override {}
  std::vector<http_call> calls;
  result<http_response> answer = http_response{200, {}, {"{}"}, false};
};

/** The platform's plug-ins, at addresses that nobody calls. */
inline std::unique_ptr<job_front> PlatformJobs(http_front& server) {
  return std::move(job_front_registry::Instance().Create("platform", server).value());
}

inline std::unique_ptr<beat_front> PlatformBeats(http_front& server) {
  return std::move(beat_front_registry::Instance().Create("platform", server).value());
}

inline std::unique_ptr<worker_control> PlatformControl(http_client& client) {
  return std::move(worker_control_registry::Instance().Create("platform", client).value());
}

inline std::unique_ptr<vm_directory> PlatformVms(http_client& client) {
  const vm_directory_options options{"10.0.0.9:80"};
  return std::move(vm_directory_registry::Instance().Create("platform", options, client).value());
}

inline std::unique_ptr<row_store> PlatformStore(http_client& client) {
  const row_store_options options{"10.0.0.9:1"};
  return std::move(row_store_registry::Instance().Create("platform", options, client).value());
}

inline std::unique_ptr<operator_source> PlatformOperators() {
  return std::move(operator_source_registry::Instance().Create("platform").value());
}

}  // namespace eelgrass
