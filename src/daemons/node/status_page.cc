#include "daemons/node/status_page.h"

namespace eelgrass {

void status_page::Handle(http_request request) {
  constexpr int kOk = 200;
  constexpr int kNotFound = 404;
  constexpr int kUnavailable = 503;
  http_response response;
  response.headers.push_back({"Content-Type", "text/plain"});
  if (request.path() == "/ready") {
    response.status = ready_ ? kOk : kUnavailable;
  } else if (request.path() == "/metrics") {
    response.status = kOk;
    response.body.data = counters_.Text();
  } else {
    response.status = kNotFound;
  }
  server_.Respond(request.id, std::move(response));
}

}  // namespace eelgrass
