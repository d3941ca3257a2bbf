#include "kernel/base/log_writer.h"

#include <poll.h>
#include <pthread.h>
#include <unistd.h>

#include <algorithm>
#include <cerrno>
#include <vector>

namespace eelgrass {
namespace {

/** Lines that may wait: some seconds of a busy process, in about a megabyte. */
constexpr size_t kRing = 4096;

/** Lines of one second; a busy planner writes some hundred. */
constexpr int kLinesPerSecond = 2000;

constexpr size_t kBatch = 256;
constexpr millis kPopWait{1000};

/** How long a reader that does not read may hold up the end of the process. */
constexpr int kStopPatienceMs = 100;

/** While it waits for a reader, the thread looks this often whether the process is to end. */
constexpr int kPollMs = 1000;

}  // namespace

log_writer::log_writer(int descriptor) : descriptor_(descriptor), ring_(kRing) {
  thread_ = std::thread([this] { Run(); });
  pthread_setname_np(thread_.native_handle(), "log");
}

log_writer::~log_writer() { Stop(); }

void log_writer::Offer(std::string line) {
  if (ring_.TryPush(std::move(line))) return;
  ++dropped_;
  ++dropped_total_;
}

void log_writer::Stop() {
  if (!thread_.joinable()) return;
  stopping_ = true;
  ring_.Close();
  thread_.join();
}

void log_writer::Run() {
  std::vector<std::string> lines;
  auto second = std::chrono::steady_clock::now();
  int written = 0;
  while (ring_.PopBatch(lines, kBatch, kPopWait)) {
    const auto now = std::chrono::steady_clock::now();
    if (now - second >= std::chrono::seconds(1)) {
      second = now;
      written = 0;
    }
    std::string text;
    for (const auto& line : lines) {
      if (++written > kLinesPerSecond) {
        ++dropped_;
        ++dropped_total_;
        continue;
      }
      text += line;
      text += '\n';
    }
    lines.clear();
    const int64_t lost = written > kLinesPerSecond ? 0 : dropped_.exchange(0);
    if (lost > 0) text += "event=log-lines-dropped count=" + std::to_string(lost) + "\n";
    Write(text);
  }
}

void log_writer::Write(std::string_view text) {
  while (!text.empty()) {
    pollfd ready{descriptor_, POLLOUT, 0};
    const bool writable = poll(&ready, 1, stopping_ ? kStopPatienceMs : kPollMs) > 0;
    if (!writable && stopping_) return Drop(text);
    if (!writable) continue;
    const ssize_t size = write(descriptor_, text.data(), text.size());
    if (size > 0) {
      text.remove_prefix(static_cast<size_t>(size));
    } else if (errno != EINTR && errno != EAGAIN) {
      return Drop(text);  // nobody reads any more
    }
  }
}

void log_writer::Drop(std::string_view text) {
  const int64_t lines = std::count(text.begin(), text.end(), '\n');
  dropped_ += lines;
  dropped_total_ += lines;
}

}  // namespace eelgrass
