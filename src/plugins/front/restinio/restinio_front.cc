/** \file
 * HTTP server on RESTinio. The only file that includes RESTinio, which is slow to compile.
 */
#include <pthread.h>

#include <mutex>
#include <restinio/all.hpp>
#include <thread>
#include <unordered_map>

#include "kernel/io/http_front.h"

namespace eelgrass {
namespace {

namespace rest = restinio;

struct front_traits : public rest::default_single_thread_traits_t {
  static constexpr bool use_connection_count_limiter = true;
};

using server = rest::http_server_t<front_traits>;

constexpr size_t kMaxUrlBytes = 8 << 10;
constexpr size_t kMaxHeaderBytes = 16 << 10;
constexpr size_t kMaxHeaders = 128;
constexpr std::chrono::milliseconds kFlushTime{100};

http_request Convert(const rest::request_handle_t& handle, uint64_t id) {
  http_request request;
  request.id = id;
  request.method = handle->header().method().c_str();
  request.target = handle->header().request_target();
  for (const auto& field : handle->header()) {
    request.headers.push_back({field.name(), field.value()});
  }
  request.body.data = handle->body();
  return request;
}

void Reply(const rest::request_handle_t& handle, http_response response) {
  const auto code = static_cast<uint16_t>(response.status);
  auto builder =
      handle->create_response(rest::http_status_line_t(rest::http_status_code_t(code), ""));
  for (const auto& field : response.headers) builder.append_header(field.name, field.value);
  const bool close = response.close || !handle->header().should_keep_alive();
  if (close) builder.connection_close();
  builder.set_body(std::move(response.body.data));
  builder.done();
}

/** One RESTinio server with one thread. */
class restinio_front : public http_front {
 public:
  explicit restinio_front(front_options options) : options_(std::move(options)) {}
  ~restinio_front() override { Stop(); }

  result<void> Start(http_handler& handler) override {
    handler_ = &handler;
    const size_t colon = options_.listen.rfind(':');
    const std::string host = options_.listen.substr(0, colon);
    const int wanted = std::atoi(options_.listen.c_str() + colon + 1);
    try {
      server_ = std::make_unique<server>(
          rest::own_io_context(), [&](auto& settings) { Configure(settings, host, wanted); });
      server_->open_sync();
    } catch (const std::exception& problem) {
      return Fail(error_kind::kUnavailable, "listen", options_.listen, problem.what());
    }
    thread_ = std::thread([this] { server_->io_context().run(); });
    pthread_setname_np(thread_.native_handle(), "front");
    return Ok();
  }

  int port() const override { return port_; }

  void Respond(uint64_t id, http_response response) override {
    rest::request_handle_t handle;
    {
      std::lock_guard lock(mutex_);
      const auto found = open_.find(id);
      if (found == open_.end()) return;
      handle = std::move(found->second);
      open_.erase(found);
    }
    Reply(handle, std::move(response));
  }

  size_t open_requests() const override {
    std::lock_guard lock(mutex_);
    return open_.size();
  }

  void Stop() override {
    if (!thread_.joinable()) return;
    {
      // Answers that were just given are still being written; the timer lets them go out. It has to
      // be gone before the server, which owns the context that the timer belongs to.
      asio::steady_timer flush(server_->io_context(), kFlushTime);
      flush.async_wait([this](asio::error_code) { server_->io_context().stop(); });
      thread_.join();
    }
    open_.clear();
    server_.reset();
  }

 private:
  template <typename Settings>
  void Configure(Settings& settings, const std::string& host, int wanted) {
    settings.address(host)
        .port(static_cast<uint16_t>(wanted))
        .max_parallel_connections(static_cast<size_t>(options_.max_connections))
        .read_next_http_message_timelimit(std::chrono::milliseconds(options_.read_timeout.count()))
        .write_http_response_timelimit(std::chrono::seconds(10))
        .handle_request_timeout(std::chrono::minutes(5))
        .incoming_http_msg_limits(rest::incoming_http_msg_limits_t()
                                      .max_url_size(kMaxUrlBytes)
                                      .max_field_name_size(kMaxHeaderBytes)
                                      .max_field_value_size(kMaxHeaderBytes)
                                      .max_field_count(kMaxHeaders)
                                      .max_body_size(static_cast<uint64_t>(options_.max_body)))
        .acceptor_post_bind_hook(
            [this](asio::ip::tcp::acceptor& acceptor) { port_ = acceptor.local_endpoint().port(); })
        .request_handler([this](const rest::request_handle_t& handle) { return Take(handle); });
  }

  rest::request_handling_status_t Take(const rest::request_handle_t& handle) {
    uint64_t id = 0;
    {
      std::lock_guard lock(mutex_);
      id = ++last_id_;
      open_.emplace(id, handle);
    }
    handler_->Handle(Convert(handle, id));
    return rest::request_accepted();
  }

  const front_options options_;
  http_handler* handler_ = nullptr;
  std::unique_ptr<server> server_;
  std::thread thread_;
  int port_ = 0;
  mutable std::mutex mutex_;
  uint64_t last_id_ = 0;
  std::unordered_map<uint64_t, rest::request_handle_t> open_;
};

const front_registration<restinio_front> kRegistration("restinio");

}  // namespace
}  // namespace eelgrass
