#include "kernel/base/log_event.h"

#include <glog/logging.h>
#include <unistd.h>

#include <memory>

#include "kernel/base/log_writer.h"

namespace eelgrass {
namespace {

/** Hands finished lines to the writer. */
class writer_sink : public google::LogSink {
 public:
  writer_sink() : writer_(STDOUT_FILENO) {}

  void send(google::LogSeverity severity, const char*, const char* file, int line,
            const google::LogMessageTime& time, const char* message, size_t size) override {
    writer_.Offer(ToString(severity, file, line, time, message, size));
  }
  void Stop() { writer_.Stop(); }

 private:
  log_writer writer_;
};

std::unique_ptr<writer_sink> g_sink;

template <google::LogSeverity Severity>
void Write(const std::string& line) {
  if (g_sink) {
    const bool also_to_file = false;
    google::LogMessage(__FILE__, __LINE__, Severity, g_sink.get(), also_to_file).stream() << line;
  } else {
    google::LogMessage(__FILE__, __LINE__, Severity).stream() << line;
  }
}

}  // namespace

log_event::log_event(std::string_view name, log_level level) : level_(level) {
  line_ = "event=";
  line_ += name;
}

log_event::~log_event() {
  switch (level_) {
    case log_level::kInfo:
      Write<google::GLOG_INFO>(line_);
      break;
    case log_level::kWarning:
      Write<google::GLOG_WARNING>(line_);
      break;
    case log_level::kError:
      Write<google::GLOG_ERROR>(line_);
      break;
  }
}

log_event& log_event::With(std::string_view key, std::string_view value) {
  const bool plain = !value.empty() && value.find_first_of(" \"\n=") == std::string_view::npos;
  line_ += " ";
  line_ += key;
  line_ += "=";
  if (plain) {
    line_ += value;
    return *this;
  }
  line_ += '"';
  for (char c : value) {
    if (c == '"' || c == '\\') line_ += '\\';
    line_ += c == '\n' ? ' ' : c;
  }
  line_ += '"';
  return *this;
}

log_event& log_event::With(std::string_view key, int64_t value) {
  return With(key, std::to_string(value));
}

void StartLogging(const char* program) {
  FLAGS_logtostderr = true;
  google::InitGoogleLogging(program);
}

void StartLoggingToOutput(const char* program) {
  google::InitGoogleLogging(program);
  g_sink = std::make_unique<writer_sink>();
}

void StopLoggingToOutput() {
  if (!g_sink) return;
  g_sink->Stop();
  g_sink.reset();
}

}  // namespace eelgrass
