#include "standins/open_loop.h"

#include <algorithm>
#include <chrono>
#include <thread>

namespace eelgrass {
namespace {
constexpr int kPercent = 100;
constexpr double kMillisPerSecond = 1000;
constexpr int64_t kTransportMarginMs = 5000;
}  // namespace

double load_result::Quantile(double q) const {
  if (latencies_ms.empty()) return 0;
  std::vector<double> sorted = latencies_ms;
  std::sort(sorted.begin(), sorted.end());
  const auto index = static_cast<size_t>(q * static_cast<double>(sorted.size() - 1));
  return sorted[index];
}

open_loop::open_loop(load_options options, http_client& client)
    : options_(std::move(options)), client_(client), random_(options_.seed) {
  for (size_t i = 0; i < options_.urls.size(); ++i) {
    const int weight = options_.url_weights.empty() ? 1 : options_.url_weights[i];
    for (int w = 0; w < weight; ++w) schedule_.push_back(i);
  }
}

double open_loop::NowMs() {
  const auto since = std::chrono::steady_clock::now().time_since_epoch();
  return std::chrono::duration<double, std::milli>(since).count();
}

http_call open_loop::MakeCall(int index) {
  const auto draw = [this] { return static_cast<int>(random_() % kPercent); };
  told_outcome& told = samples_[static_cast<size_t>(index)].told;
  told.request = options_.prefix + std::to_string(index);
  told.idempotent = draw() < options_.idempotent_percent;
  const bool keyed = draw() < options_.keyed_percent;
  const auto turn = static_cast<size_t>(index);
  http_call call;
  call.method = told.idempotent ? "GET" : "POST";
  call.url = options_.urls[schedule_[turn % schedule_.size()]] + options_.path;
  call.headers.push_back({"X-Request-Id", told.request});
  call.headers.push_back({"Eelgrass-Deadline-Ms", std::to_string(options_.deadline_ms)});
  if (!options_.tokens.empty()) {
    const std::string& token = options_.tokens[turn % options_.tokens.size()];
    call.headers.push_back({"Authorization", "Bearer " + token});
  }
  if (!told.idempotent && keyed) call.headers.push_back({"Idempotency-Key", told.request});
  if (!told.idempotent) call.body.data = "order " + told.request;
  call.timeout = millis(options_.deadline_ms + kTransportMarginMs);
  call.once = false;
  return call;
}

void open_loop::OnDone(int index, double started, result<http_response> reply) {
  std::lock_guard lock(mutex_);
  sample& item = samples_[static_cast<size_t>(index)];
  item.latency_ms = NowMs() - started;
  if (reply) {
    const http_response& response = reply.value();
    item.told.outcome = FindHeader(response.headers, "Eelgrass-Outcome");
    item.told.answered_id = FindHeader(response.headers, "X-Request-Id");
    // A direct call to the stand-in has no outcome header.
    const bool direct = item.told.outcome.empty() && response.status == 200;
    if (direct) item.told.outcome = "completed";
  }
  if (--left_ == 0) done_.notify_all();
}

load_result open_loop::Run() {
  samples_.assign(static_cast<size_t>(options_.requests), sample{});
  left_ = options_.requests;
  std::exponential_distribution<double> gap(options_.rate / kMillisPerSecond);
  const double begun = NowMs();
  double next = begun;
  for (int i = 0; i < options_.requests; ++i) {
    next += gap(random_);
    const double wait = next - NowMs();
    if (wait > 0) std::this_thread::sleep_for(std::chrono::duration<double, std::milli>(wait));
    client_.Start(MakeCall(i), [this, i, next](result<http_response> reply) {
      OnDone(i, next, std::move(reply));
    });
  }
  std::unique_lock lock(mutex_);
  done_.wait(lock, [this] { return left_ == 0; });
  load_result result;
  result.seconds = (NowMs() - begun) / kMillisPerSecond;
  for (const auto& item : samples_) {
    result.told.push_back(item.told);
    if (item.told.outcome != "completed") continue;
    result.latencies_ms.push_back(item.latency_ms);
    if (item.latency_ms > static_cast<double>(options_.deadline_ms)) ++result.late;
  }
  return result;
}

}  // namespace eelgrass
