#include "kernel/base/log_event.h"

#include <glog/logging.h>

namespace eelgrass {

log_event::log_event(std::string_view name, log_level level) : level_(level) {
  line_ = "event=";
  line_ += name;
}

log_event::~log_event() {
  switch (level_) {
    case log_level::kInfo:
      LOG(INFO) << line_;
      break;
    case log_level::kWarning:
      LOG(WARNING) << line_;
      break;
    case log_level::kError:
      LOG(ERROR) << line_;
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

}  // namespace eelgrass
