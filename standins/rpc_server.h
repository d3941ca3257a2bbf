/** \file
 * The server side of JSON-RPC, free of libjsonrpccpp's headers, which compile as C++14 only.
 */
#pragma once

#include <memory>
#include <string>

namespace eelgrass {

/** Carries out calls; parameters and results are JSON text. */
class rpc_target {
 public:
  virtual ~rpc_target() = default;
  virtual std::string Call(const std::string& method, const std::string& parameters) = 0;
};

/** Answers JSON-RPC 2.0 requests for the methods of a worker. */
class rpc_server {
 public:
  explicit rpc_server(rpc_target& target);
  ~rpc_server();

  std::string Answer(const std::string& request);

 private:
  struct parts;
  std::unique_ptr<parts> parts_;
};

}  // namespace eelgrass
