/** \file
 * A JSON-RPC call, free of libjsonrpccpp's headers, which compile as C++14 only.
 */
#pragma once

#include <memory>
#include <string>

namespace eelgrass {

/** A blocking client of one JSON-RPC 2.0 server over HTTP. */
class jsonrpc_caller {
 public:
  jsonrpc_caller(const std::string& url, long timeout_ms);
  ~jsonrpc_caller();

  /**
   * Calls a method with parameters as JSON text and fills `answer` with the result as JSON text,
   * or with what went wrong when it returns false.
   */
  bool Call(const std::string& method, const std::string& parameters, std::string& answer);

 private:
  struct parts;
  std::unique_ptr<parts> parts_;
};

}  // namespace eelgrass
