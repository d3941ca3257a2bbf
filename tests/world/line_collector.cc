#include "tests/world/line_collector.h"

#include <glog/logging.h>

#include <mutex>

namespace eelgrass {

class line_collector::sink : public google::LogSink {
 public:
  sink() { google::AddLogSink(this); }
  ~sink() override { google::RemoveLogSink(this); }
  sink(const sink&) = delete;
  sink& operator=(const sink&) = delete;

  void send(google::LogSeverity /*severity*/, const char* /*full_path*/, const char* /*file*/,
            int /*line*/, const google::LogMessageTime& /*time*/, const char* message,
            size_t length) override {
    std::lock_guard lock(mutex_);
    text_.append(message, length).push_back('\n');
  }
  std::string text() const {
    std::lock_guard lock(mutex_);
    return text_;
  }

 private:
  mutable std::mutex mutex_;
  std::string text_;
};

line_collector::line_collector() : sink_(std::make_unique<sink>()) {}
line_collector::~line_collector() = default;

std::string line_collector::text() const { return sink_->text(); }

}  // namespace eelgrass
