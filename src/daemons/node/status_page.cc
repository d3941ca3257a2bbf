#include "daemons/node/status_page.h"

#include "kernel/base/http_status.h"

namespace eelgrass {

void status_page::Handle(http_request request) {
  http_response response;
  response.headers.push_back({"Content-Type", "text/plain"});
  if (request.path() == "/ready") {
    response.status = ready_ ? http_status::kOk : http_status::kServiceUnavailable;
  } else if (request.path() == "/metrics") {
    response.status = http_status::kOk;
    response.body.data = counters_.Text();
  } else {
    response.status = http_status::kNotFound;
  }
  server_.Respond(request.id, std::move(response));
}

}  // namespace eelgrass
