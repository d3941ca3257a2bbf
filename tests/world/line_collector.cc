#include "tests/world/line_collector.h"

#include <glog/logging.h>

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
    text_.append(message, length).push_back('\n');
  }
  const std::string& text() const { return text_; }

 private:
  std::string text_;
};

line_collector::line_collector() : sink_(std::make_unique<sink>()) {}
line_collector::~line_collector() = default;

const std::string& line_collector::text() const { return sink_->text(); }

}  // namespace eelgrass
