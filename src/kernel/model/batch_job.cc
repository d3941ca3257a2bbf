#include "kernel/model/batch_job.h"

#include <charconv>

namespace eelgrass {
namespace {

bool TakeNumber(std::string_view& text, int& number) {
  const size_t dot = text.rfind('.');
  if (dot == std::string_view::npos) return false;
  const std::string_view digits = text.substr(dot + 1);
  const auto [end, problem] = std::from_chars(digits.begin(), digits.end(), number);
  if (problem != std::errc() || end != digits.end() || number < 0) return false;
  text = text.substr(0, dot);
  return true;
}

}  // namespace

std::string ToText(const task_ref& task) {
  return task.job + "." + std::to_string(task.occurrence) + "." + std::to_string(task.step) + "." +
         std::to_string(task.index);
}

bool ParseTask(std::string_view text, task_ref& task) {
  const bool numbers = TakeNumber(text, task.index) && TakeNumber(text, task.step) &&
                       TakeNumber(text, task.occurrence);
  if (!numbers || text.empty()) return false;
  task.job = text;
  return true;
}

std::string_view BatchStateName(batch_state state) {
  switch (state) {
    case batch_state::kPending:
      return "pending";
    case batch_state::kRunning:
      return "running";
    case batch_state::kCompleted:
      return "completed";
    case batch_state::kFailed:
      return "failed";
    case batch_state::kCancelled:
      return "cancelled";
  }
  return "pending";
}

}  // namespace eelgrass
