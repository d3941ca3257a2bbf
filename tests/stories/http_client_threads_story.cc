#include <doctest/doctest.h>

#include <algorithm>
#include <array>
#include <asio.hpp>
#include <atomic>
#include <chrono>
#include <future>
#include <memory>
#include <string>
#include <thread>

#include "kernel/io/http_client.h"
#include "kernel/io/row_store.h"
#include "kernel/io/worker_control.h"

namespace eelgrass {
namespace {

using asio::ip::tcp;

/** A server on loopback that answers the first request of a connection and breaks off the second.
 */
class breaking_server {
 public:
  breaking_server() : acceptor_(io_, tcp::endpoint(asio::ip::address_v4::loopback(), 0)) {
    port_ = acceptor_.local_endpoint().port();
    thread_ = std::thread([this] { Serve(); });
  }
  ~breaking_server() { thread_.join(); }

  std::string url() const { return "http://127.0.0.1:" + std::to_string(port_) + "/"; }
  int requests() const { return requests_; }

 private:
  void Serve() {
    tcp::socket peer = acceptor_.accept();
    asio::streambuf buffer;
    asio::read_until(peer, buffer, "\r\n\r\n");
    buffer.consume(buffer.size());
    asio::write(peer, asio::buffer(std::string("HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n")));
    asio::read_until(peer, buffer, "\r\n\r\n");
    ++requests_;
    acceptor_.close();  // nobody listens when the request is sent again
    peer.set_option(asio::socket_base::linger(true, 0));
    peer.close();
  }

  asio::io_context io_;
  tcp::acceptor acceptor_;
  unsigned short port_ = 0;
  std::atomic<int> requests_{0};
  std::thread thread_;
};

/**
 * A server on loopback that answers the first request of a connection, breaks off the second, and
 * answers the copy of it that comes on the next connection.
 */
class turning_away_server {
 public:
  explicit turning_away_server(std::string status)
      : status_(std::move(status)),
        acceptor_(io_, tcp::endpoint(asio::ip::address_v4::loopback(), 0)),
        thread_([this] { Serve(); }) {}
  ~turning_away_server() { thread_.join(); }

  std::string address() const {
    return "127.0.0.1:" + std::to_string(acceptor_.local_endpoint().port());
  }

 private:
  static void ReadRequest(tcp::socket& peer) {
    constexpr std::string_view kLength = "Content-Length: ";
    std::string text;
    const size_t head =
        asio::read_until(peer, asio::dynamic_buffer(text), std::string_view("\r\n\r\n"));
    const size_t field = text.find(kLength);
    const size_t length =
        field == std::string::npos ? 0 : std::stoul(text.substr(field + kLength.size()));
    const size_t missing = head + length - std::min(head + length, text.size());
    asio::read(peer, asio::dynamic_buffer(text), asio::transfer_exactly(missing));
  }

  static void Answer(tcp::socket& peer, const std::string& status, const std::string& body) {
    asio::write(peer, asio::buffer("HTTP/1.1 " + status + "\r\nContent-Length: " +
                                   std::to_string(body.size()) + "\r\n\r\n" + body));
  }

  void Serve() {
    tcp::socket first = acceptor_.accept();
    ReadRequest(first);
    Answer(first, "200 OK", R"({"Ver":1})");
    ReadRequest(first);
    first.close();
    tcp::socket second = acceptor_.accept();
    ReadRequest(second);
    Answer(second, status_, "{}");
  }

  const std::string status_;
  asio::io_context io_;
  tcp::acceptor acceptor_;
  std::thread thread_;
};

/** A server on loopback whose queue of new connections is full: further ones hang. */
class full_server {
 public:
  full_server() : acceptor_(io_) {
    const tcp::endpoint any(asio::ip::address_v4::loopback(), 0);
    acceptor_.open(any.protocol());
    acceptor_.bind(any);
    acceptor_.listen(0);
    for (auto& waiting : queue_) {
      waiting.async_connect(acceptor_.local_endpoint(), [](asio::error_code) {});
    }
  }

  std::string url() const {
    return "http://127.0.0.1:" + std::to_string(acceptor_.local_endpoint().port()) + "/";
  }

 private:
  asio::io_context io_;
  tcp::acceptor acceptor_;
  std::array<tcp::socket, 4> queue_{tcp::socket(io_), tcp::socket(io_), tcp::socket(io_),
                                    tcp::socket(io_)};
};

/**
 * A server on loopback that answers the first request of a connection, ends the connection some
 * time after the second, and never answers the copy of it that comes on the next connection.
 */
class stalling_server {
 public:
  explicit stalling_server(std::chrono::milliseconds delay)
      : delay_(delay),
        acceptor_(io_, tcp::endpoint(asio::ip::address_v4::loopback(), 0)),
        thread_([this] { Serve(); }) {}
  ~stalling_server() { thread_.join(); }

  std::string url() const {
    return "http://127.0.0.1:" + std::to_string(acceptor_.local_endpoint().port()) + "/";
  }

 private:
  void Serve() {
    asio::streambuf buffer;
    tcp::socket first = acceptor_.accept();
    asio::read_until(first, buffer, "\r\n\r\n");
    buffer.consume(buffer.size());
    asio::write(first, asio::buffer(std::string("HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n")));
    asio::read_until(first, buffer, "\r\n\r\n");
    std::this_thread::sleep_for(delay_);
    first.close();
    tcp::socket second = acceptor_.accept();
    asio::error_code ended;
    while (!ended) asio::read(second, buffer, asio::transfer_at_least(1), ended);
  }

  const std::chrono::milliseconds delay_;
  asio::io_context io_;
  tcp::acceptor acceptor_;
  std::thread thread_;
};

/** A server on loopback that accepts connections and answers nothing. */
class mute_server {
 public:
  mute_server() : acceptor_(io_, tcp::endpoint(asio::ip::address_v4::loopback(), 0)) {}

  std::string url() const {
    return "http://127.0.0.1:" + std::to_string(acceptor_.local_endpoint().port()) + "/";
  }

 private:
  asio::io_context io_;
  tcp::acceptor acceptor_;
};

/** Makes one call after the other, each with the same time. */
class patient_caller {
 public:
  explicit patient_caller(millis timeout) : timeout_(timeout) {}
  ~patient_caller() { client_->Stop(); }

  result<http_response> Call(const std::string& url) {
    std::promise<result<http_response>> answer;
    http_call sent;
    sent.method = "POST";
    sent.url = url;
    sent.timeout = timeout_;
    client_->Start(std::move(sent),
                   [&](result<http_response> got) { answer.set_value(std::move(got)); });
    return answer.get_future().get();
  }

 private:
  const millis timeout_;
  std::unique_ptr<http_client> client_ =
      std::move(client_registry::Instance().Create("curl", {}).value());
};

TEST_CASE("a call that ends while it still waits for a connection") {
  const full_server server;
  patient_caller caller(millis(300));
  const auto answer = caller.Call(server.url());
  REQUIRE_FALSE(answer);
  SUBCASE("was never sent") { CHECK(answer.error().kind == error_kind::kUnavailable); }
}

TEST_CASE("a call that waits for the connection of another call ends in its own time") {
  const mute_server server;
  client_options options;
  options.max_connections = 1;
  const auto client = std::move(client_registry::Instance().Create("curl", options).value());
  const auto call = [&](millis timeout, std::promise<error_kind>& ended) {
    http_call sent;
    sent.method = "GET";
    sent.url = server.url();
    sent.timeout = timeout;
    client->Start(std::move(sent), [&ended](const result<http_response>& answer) {
      ended.set_value(answer ? error_kind::kInvalid : answer.error().kind);
    });
  };
  std::promise<error_kind> first;
  std::promise<error_kind> second;
  const auto began = std::chrono::steady_clock::now();
  call(millis(2000), first);
  call(millis(500), second);
  CHECK(second.get_future().get() == error_kind::kUnavailable);
  CHECK((std::chrono::steady_clock::now() - began < std::chrono::milliseconds(1000)));
  CHECK(first.get_future().get() == error_kind::kUnknown);
  client->Stop();
}

TEST_CASE("a call is not sent once its time is over, though the client stood still meanwhile") {
  const mute_server server;
  const auto client = std::move(client_registry::Instance().Create("curl", {}).value());
  const auto call = [&](const std::string& url, millis timeout, http_client::callback done) {
    http_call sent;
    sent.method = "POST";
    sent.url = url;
    sent.timeout = timeout;
    client->Start(std::move(sent), std::move(done));
  };
  std::promise<void> standing;
  std::promise<error_kind> ended;
  call("http://127.0.0.1:0/", millis(2000), [&](const result<http_response>&) {
    standing.set_value();
    std::this_thread::sleep_for(std::chrono::milliseconds(600));
  });
  standing.get_future().wait();
  call(server.url(), millis(300), [&](const result<http_response>& answer) {
    ended.set_value(answer ? error_kind::kInvalid : answer.error().kind);
  });
  CHECK(ended.get_future().get() == error_kind::kUnavailable);
  client->Stop();
}

TEST_CASE("a call to what is no address was never sent, and the next calls go on") {
  patient_caller caller(millis(2000));
  for (const std::string host :
       {"127.0.0.1:0", "127.0.0.1:65536", "127.0.0.1:99999999999", "127.0.0.1:x", "127.0.0.1:-1",
        ":80", "", "[::1", "127.0.0.1:1 :2", "127.0.0.1\x01:1", "127.0.0.1\r\nX: y:1"}) {
    CAPTURE(host);
    const auto answer = caller.Call("http://" + host + "/hold");
    REQUIRE_FALSE(answer);
    CHECK(answer.error().kind == error_kind::kUnavailable);
  }
  std::string url;
  {
    breaking_server server;
    url = server.url();
    CHECK(caller.Call(url));
    CHECK_FALSE(caller.Call(url));
  }
}

TEST_CASE("a call that no network carries was never sent, which says nothing of who listens") {
  patient_caller caller(millis(2000));
  const auto answer = caller.Call("http://127.255.255.255:9/hold");  // the broadcast address
  REQUIRE_FALSE(answer);
  CHECK(answer.error().kind == error_kind::kUnavailable);
}

TEST_CASE("a call of which the connection is reset") {
  patient_caller caller(millis(2000));
  const auto call = [&](const std::string& url) { return caller.Call(url); };
  std::string url;
  {
    breaking_server server;
    url = server.url();
    REQUIRE(call(url));

    SUBCASE("after it was read, and nobody listens any more: it may have had its effect") {
      const auto answer = call(url);
      REQUIRE_FALSE(answer);
      CHECK(server.requests() == 1);
      CHECK(answer.error().kind == error_kind::kUnknown);
    }
    SUBCASE("and the next one finds nobody: it was never sent, and its connection was refused") {
      CHECK_FALSE(call(url));
      const auto answer = call(url);
      REQUIRE_FALSE(answer);
      CHECK(answer.error().kind == error_kind::kRefused);
    }
  }
}

TEST_CASE("a call that is sent again on another connection ends in the time of the first copy") {
  const stalling_server server(std::chrono::milliseconds(600));
  patient_caller caller(millis(1000));
  REQUIRE(caller.Call(server.url()));
  const auto began = std::chrono::steady_clock::now();
  const auto answer = caller.Call(server.url());
  const auto took = std::chrono::steady_clock::now() - began;
  REQUIRE_FALSE(answer);
  CHECK(answer.error().kind == error_kind::kUnknown);
  CHECK((took < std::chrono::milliseconds(1400)));
}

// Guards against a rejection with a promise of what had been stored (REFUSED), and against the same
// error in calls to workers (TWICE): the client library sends a request again by itself, and the
// answer to the second copy says nothing of the first.
TEST_CASE("a call that is sent again on another connection and then refused") {
  const auto client = std::move(client_registry::Instance().Create("curl", {}).value());

  SUBCASE("to the store, with 503: it may have been done") {
    const turning_away_server server("503 Service Unavailable");
    const auto store =
        std::move(row_store_registry::Instance()
                      .Create("platform", row_store_options{server.address()}, *client)
                      .value());
    row_transaction change;
    change.conditions.push_back({{"jobs", "", "a"}, 0});
    change.writes.push_back({{"jobs", "", "a"}, "text"});
    const auto transact = [&] {
      std::promise<row_outcome> outcome;
      store->Transact(change, millis(2000),
                      [&](const transaction_result& got) { outcome.set_value(got.outcome); });
      return outcome.get_future().get();
    };
    CHECK(transact() == row_outcome::kDone);
    CHECK(transact() == row_outcome::kUnknown);
  }
  SUBCASE("to a worker, as it has no room: it may have begun") {
    const turning_away_server server("409 Conflict");
    const auto control =
        std::move(worker_control_registry::Instance().Create("platform", *client).value());
    start_call call;
    call.address = server.address();
    call.worker = {"i-1", 17};
    call.run.task = "5c0e7a21d94b36f8.0.0.0";
    call.run.run = 2;
    const auto start = [&] {
      std::promise<call_outcome> outcome;
      control->Start(call, millis(2000),
                     [&](const start_answer& got) { outcome.set_value(got.outcome); });
      return outcome.get_future().get();
    };
    CHECK(start() == call_outcome::kDone);
    CHECK(start() == call_outcome::kNoAnswer);
  }
  client->Stop();
}

}  // namespace
}  // namespace eelgrass
