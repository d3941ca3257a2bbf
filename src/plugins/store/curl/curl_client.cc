/** \file
 * HTTP client on libcurl's multi interface.
 */
#include <curl/curl.h>
#include <pthread.h>

#include <algorithm>
#include <cerrno>
#include <chrono>
#include <memory>
#include <thread>
#include <unordered_map>
#include <vector>

#include "kernel/base/address.h"
#include "kernel/base/bounded_ring.h"
#include "kernel/base/log_event.h"
#include "kernel/io/http_client.h"

namespace eelgrass {
namespace {

constexpr int kLongestPollMs = 1000;
constexpr long kMaxIdleConnections = 64;

/** A call that is sent later than this after its start is logged. */
constexpr std::chrono::milliseconds kLateStart{200};

/** One call in flight. */
struct transfer {
  http_call call;
  http_client::callback done;
  CURL* handle = nullptr;
  curl_slist* headers = nullptr;
  http_response response;
  int sends = 0;  // how often some of the request may have reached the server
  std::chrono::steady_clock::time_point started = std::chrono::steady_clock::now();
  std::chrono::steady_clock::time_point deadline;
};

/** What stands between the scheme and the path of a URL. */
std::string_view AddressIn(std::string_view url) {
  constexpr std::string_view kScheme = "http://";
  if (!url.starts_with(kScheme)) return {};
  url.remove_prefix(kScheme.size());
  return url.substr(0, url.find('/'));
}

/** Logs a call that had to wait for the client's thread or for a connection. */
void LogLateStart(const transfer& item) {
  const auto waited = std::chrono::duration_cast<std::chrono::milliseconds>(
      std::chrono::steady_clock::now() - item.started);
  if (waited <= kLateStart) return;
  log_event("http-call-late", log_level::kWarning)
      .With("method", item.call.method)
      .With("url", item.call.url.substr(0, item.call.url.find('?')))
      .With("waited_ms", waited.count());
}

/** Called each time before a request is sent on a connection. */
int NoteSent(void* user, char*, char*, int, int) {
  auto& item = *static_cast<transfer*>(user);
  if (++item.sends == 1) LogLateStart(item);
  return CURL_PREREQFUNC_OK;
}

size_t TakeBody(char* data, size_t size, size_t count, void* user) {
  static_cast<transfer*>(user)->response.body.data.append(data, size * count);
  return size * count;
}

size_t TakeHeader(char* data, size_t size, size_t count, void* user) {
  const std::string_view line(data, size * count);
  const size_t colon = line.find(':');
  if (colon == std::string_view::npos) return line.size();
  const size_t start = line.find_first_not_of(" \t", colon + 1);
  const size_t end = line.find_last_not_of(" \t\r\n");
  std::string value;
  if (start != std::string_view::npos && end >= start) value = line.substr(start, end - start + 1);
  auto& response = static_cast<transfer*>(user)->response;
  response.headers.push_back({std::string(line.substr(0, colon)), std::move(value)});
  return line.size();
}

/** Callers cannot tell a repeated call from another by its status, so that the log names each. */
void LogRepeated(const transfer& item, CURLcode code, long status) {
  log_event("http-call-repeated", log_level::kWarning)
      .With("method", item.call.method)
      .With("address", AddressIn(item.call.url))
      .With("sends", item.sends)
      .With("status", static_cast<int64_t>(status))
      .With("result", code == CURLE_OK ? "answered" : curl_easy_strerror(code));
}

/** Runs all transfers on one thread, which sleeps in curl_multi_poll. */
class curl_client : public http_client {
 public:
  explicit curl_client(client_options options) : ring_(options.ring_capacity) {
    curl_global_init(CURL_GLOBAL_DEFAULT);
    multi_ = curl_multi_init();
    curl_multi_setopt(multi_, CURLMOPT_MAX_HOST_CONNECTIONS,
                      static_cast<long>(options.max_connections));
    curl_multi_setopt(multi_, CURLMOPT_MAXCONNECTS, kMaxIdleConnections);
    thread_ = std::thread([this] { Run(); });
    pthread_setname_np(thread_.native_handle(), "http-client");
  }

  ~curl_client() override {
    Stop();
    curl_multi_cleanup(multi_);
  }

  void Start(http_call call, callback done) override {
    auto item = std::make_unique<transfer>();
    item->call = std::move(call);
    item->done = std::move(done);
    if (ring_.TryPush(std::move(item))) {
      curl_multi_wakeup(multi_);
      return;
    }
    // A ring that refuses an item leaves it with the caller.
    // NOLINTNEXTLINE(bugprone-use-after-move)
    item->done(Fail(error_kind::kExhausted, "http-call", item->call.url, "too many calls waiting"));
  }

  void Stop() override {
    if (!thread_.joinable()) return;
    ring_.Close();
    curl_multi_wakeup(multi_);
    thread_.join();
  }

 private:
  void Run() {
    std::vector<std::unique_ptr<transfer>> batch;
    constexpr size_t kAll = SIZE_MAX;
    while (ring_.PopBatch(batch, kAll, millis(0))) {
      for (auto& item : batch) Begin(std::move(item));
      batch.clear();
      int running = 0;
      curl_multi_perform(multi_, &running);
      Collect();
      EndOverdue();
      curl_multi_poll(multi_, nullptr, 0, PollTime(), nullptr);
    }
    while (!active_.empty()) End(active_.begin()->first, CURLE_ABORTED_BY_CALLBACK);
  }

  /**
   * Ends calls whose time is over. The library's own timer starts again for a request that it sends
   * again, and does not end calls that wait for a connection.
   */
  void EndOverdue() {
    const auto now = std::chrono::steady_clock::now();
    std::vector<CURL*> overdue;
    for (const auto& [handle, item] : active_) {
      if (item->deadline <= now) overdue.push_back(handle);
    }
    for (CURL* handle : overdue) End(handle, CURLE_OPERATION_TIMEDOUT);
  }

  /** The time until the next call has to end, in milliseconds. */
  int PollTime() const {
    const auto now = std::chrono::steady_clock::now();
    auto time = std::chrono::milliseconds(kLongestPollMs);
    for (const auto& [handle, item] : active_) {
      time = std::min(time, std::chrono::ceil<std::chrono::milliseconds>(item->deadline - now));
    }
    return static_cast<int>(std::max<int64_t>(0, time.count()));
  }

  /** Sends nothing that its sender has stopped waiting for, as after the process was suspended. */
  static bool IsOutdated(const transfer& item) {
    const auto timeout = std::chrono::milliseconds(item.call.timeout.count());
    return std::chrono::steady_clock::now() - item.started >= timeout;
  }

  void Begin(std::unique_ptr<transfer> item) {
    if (IsOutdated(*item)) {
      LogLateStart(*item);
      return item->done(
          Fail(error_kind::kUnavailable, "http-call", item->call.url, "its time is over"));
    }
    item->deadline =
        std::chrono::steady_clock::now() + std::chrono::milliseconds(item->call.timeout.count());
    CURL* handle = curl_easy_init();
    item->handle = handle;
    const http_call& call = item->call;
    for (const auto& field : call.headers) {
      item->headers = curl_slist_append(item->headers, (field.name + ": " + field.value).c_str());
    }
    item->headers = curl_slist_append(item->headers, "Expect:");
    curl_easy_setopt(handle, CURLOPT_URL, call.url.c_str());
    curl_easy_setopt(handle, CURLOPT_PROTOCOLS_STR, "http");
    curl_easy_setopt(handle, CURLOPT_HTTP_VERSION, CURL_HTTP_VERSION_1_1);
    curl_easy_setopt(handle, CURLOPT_PATH_AS_IS, 1L);
    curl_easy_setopt(handle, CURLOPT_NOSIGNAL, 1L);
    curl_easy_setopt(handle, CURLOPT_NOPROXY, "*");
    curl_easy_setopt(handle, CURLOPT_TIMEOUT_MS, static_cast<long>(call.timeout.count()));
    if (call.method == "HEAD") {
      curl_easy_setopt(handle, CURLOPT_NOBODY, 1L);
    } else if (!call.body.data.empty() || call.method == "POST" || call.method == "PUT") {
      curl_easy_setopt(handle, CURLOPT_POSTFIELDSIZE_LARGE,
                       static_cast<curl_off_t>(call.body.data.size()));
      curl_easy_setopt(handle, CURLOPT_POSTFIELDS, call.body.data.data());
    }
    curl_easy_setopt(handle, CURLOPT_CUSTOMREQUEST, call.method.c_str());
    curl_easy_setopt(handle, CURLOPT_HTTPHEADER, item->headers);
    curl_easy_setopt(handle, CURLOPT_FRESH_CONNECT, call.once ? 1L : 0L);
    curl_easy_setopt(handle, CURLOPT_FORBID_REUSE, call.once ? 1L : 0L);
    curl_easy_setopt(handle, CURLOPT_WRITEFUNCTION, &TakeBody);
    curl_easy_setopt(handle, CURLOPT_WRITEDATA, item.get());
    curl_easy_setopt(handle, CURLOPT_HEADERFUNCTION, &TakeHeader);
    curl_easy_setopt(handle, CURLOPT_HEADERDATA, item.get());
    curl_easy_setopt(handle, CURLOPT_PREREQFUNCTION, &NoteSent);
    curl_easy_setopt(handle, CURLOPT_PREREQDATA, item.get());
    curl_multi_add_handle(multi_, handle);
    active_.emplace(handle, std::move(item));
  }

  void Collect() {
    int left = 0;
    while (const CURLMsg* message = curl_multi_info_read(multi_, &left)) {
      if (message->msg == CURLMSG_DONE) End(message->easy_handle, message->data.result);
    }
  }

  /** What a call that failed may have done, and what it proves. */
  static error_kind KindOf(const transfer& item, CURLcode code) {
    // The library sends a request again if a kept connection ends without an answer, so that the
    // code of the last try says nothing of the ones before.
    if (item.sends > 0) return error_kind::kUnknown;
    long reason = 0;
    curl_easy_getinfo(item.handle, CURLINFO_OS_ERRNO, &reason);
    const bool refused = code == CURLE_COULDNT_CONNECT && reason == ECONNREFUSED;
    // Nobody can listen at port 0.
    return refused && IsCallable(AddressIn(item.call.url)) ? error_kind::kRefused
                                                           : error_kind::kUnavailable;
  }

  void End(CURL* handle, CURLcode code) {
    const auto found = active_.find(handle);
    const std::unique_ptr<transfer> item = std::move(found->second);
    active_.erase(found);
    long status = 0;
    curl_easy_getinfo(handle, CURLINFO_RESPONSE_CODE, &status);
    if (item->sends > 1) LogRepeated(*item, code, status);
    const error_kind kind = KindOf(*item, code);
    curl_multi_remove_handle(multi_, handle);
    curl_easy_cleanup(handle);
    curl_slist_free_all(item->headers);
    if (code == CURLE_OK) {
      item->response.status = static_cast<int>(status);
      item->response.repeated = item->sends > 1;
      item->done(std::move(item->response));
      return;
    }
    item->done(Fail(kind, "http-call", item->call.url, curl_easy_strerror(code)));
  }

  CURLM* multi_ = nullptr;
  bounded_ring<std::unique_ptr<transfer>> ring_;
  std::unordered_map<CURL*, std::unique_ptr<transfer>> active_;
  std::thread thread_;
};

const client_registration<curl_client> kRegistration("curl");

}  // namespace
}  // namespace eelgrass
