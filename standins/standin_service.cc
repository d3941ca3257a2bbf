#include "standins/standin_service.h"

#include <algorithm>

namespace eelgrass {
namespace {
constexpr std::string_view kWork = "/work/";
}

size_t standin_service::Begin(const std::string& upstream, const http_request& request,
                              millis& duration) {
  const std::string_view path = request.path();
  const size_t work = path.find(kWork);
  if (work != std::string_view::npos) {
    duration = millis(std::atoll(std::string(path.substr(work + kWork.size())).c_str()));
  }
  std::lock_guard lock(mutex_);
  execution item;
  item.upstream = upstream;
  item.request = request.Header("X-Request-Id");
  item.attempt = request.Header("Eelgrass-Attempt");
  executions_.push_back(std::move(item));
  const int now = ++running_[upstream];
  most_[upstream] = std::max(most_[upstream], now);
  return executions_.size() - 1;
}

http_response standin_service::End(size_t index) {
  std::lock_guard lock(mutex_);
  execution& item = executions_[index];
  item.finished = true;
  --running_[item.upstream];
  http_response response;
  response.status = 200;
  response.headers.push_back({"Content-Type", "text/plain"});
  response.headers.push_back({"X-Request-Id", item.request});
  response.body.data = "done " + item.request + "\n";
  return response;
}

std::vector<execution> standin_service::executions() const {
  std::lock_guard lock(mutex_);
  return executions_;
}

std::map<std::string, int> standin_service::most_at_once() const {
  std::lock_guard lock(mutex_);
  return most_;
}

}  // namespace eelgrass
