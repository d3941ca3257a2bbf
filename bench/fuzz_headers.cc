/** \file
 * libFuzzer target: what callers and operators put into a request.
 */
#include <cstddef>
#include <cstdint>
#include <string>

#include "plugins/front/rest/rest_routes.h"

extern "C" int LLVMFuzzerTestOneInput(const uint8_t* data, size_t size) {
  const std::string input(reinterpret_cast<const char*>(data), size);
  const size_t line = input.find('\n');
  eelgrass::http_request request;
  request.method = size % 3 == 0 ? "GET" : size % 3 == 1 ? "POST" : "PUT";
  request.target = "/v1/" + input.substr(0, line);
  if (line != std::string::npos) request.body.data = input.substr(line + 1);
  request.headers.push_back({"Idempotency-Key", input});
  (void)request.Parameter("due_ms");
  (void)eelgrass::RouteCommand(request);
  return 0;
}
