#include <doctest/doctest.h>

#include <array>
#include <asio.hpp>
#include <chrono>
#include <condition_variable>
#include <memory>
#include <mutex>
#include <string>
#include <thread>
#include <vector>

#include "daemons/node/batch_agent.h"
#include "daemons/node/batch_entry.h"
#include "daemons/node/common_settings.h"
#include "daemons/node/entry_node.h"
#include "daemons/node/upstream_agent.h"
#include "daemons/node/worker_agent.h"
#include "kernel/base/system_clock.h"

namespace eelgrass {
namespace {

using asio::ip::tcp;

constexpr std::string_view kKey = "the-shared-key-of-all";

/** An address on loopback that a socket of the test listens on, so that no other can. */
class taken_address {
 public:
  taken_address() : acceptor_(io_, tcp::endpoint(asio::ip::address_v4::loopback(), 0)) {}
  virtual ~taken_address() = default;

  std::string text() const {
    return "127.0.0.1:" + std::to_string(acceptor_.local_endpoint().port());
  }

 protected:
  asio::io_context io_;
  tcp::acceptor acceptor_;
};

/** A server that takes requests and answers none. */
class silent_server : public taken_address {
 public:
  silent_server() {
    Accept();
    thread_ = std::thread([this] { io_.run(); });
  }
  ~silent_server() override {
    io_.stop();
    thread_.join();
  }

  /** Whether a request has come and waits. */
  bool WaitForRequest() {
    std::unique_lock lock(mutex_);
    return came_.wait_for(lock, std::chrono::seconds(15), [&] { return requests_ > 0; });
  }

 private:
  void Accept() {
    acceptor_.async_accept([this](asio::error_code error, tcp::socket socket) {
      if (error) return;
      auto peer = std::make_shared<tcp::socket>(std::move(socket));
      auto buffer = std::make_shared<std::array<char, 1024>>();
      open_.push_back(peer);
      peer->async_read_some(asio::buffer(*buffer), [this, buffer](asio::error_code failed, size_t) {
        if (failed) return;
        std::lock_guard lock(mutex_);
        ++requests_;
        came_.notify_all();
      });
      Accept();
    });
  }

  std::vector<std::shared_ptr<tcp::socket>> open_;
  std::mutex mutex_;
  std::condition_variable came_;
  int requests_ = 0;
  std::thread thread_;
};

/** An address on loopback that nobody listens on. */
std::string FreeAddress() { return taken_address().text(); }

/** The process at the other end of a connection. */
class neighbour : public link_listener {
 public:
  explicit neighbour(peer_role role) {
    hub_options options;
    options.self = {"n1", 1, role, "127.0.0.1:0", "d", {}, {}};
    options.listen = "127.0.0.1:0";
    options.shared_key = kKey;
    hub_ = hub_registry::Instance().Create("asio", options, *codec_, time_).value();
    REQUIRE(hub_->Start(*this).has_value());
  }
  ~neighbour() override { hub_->Stop(); }

  void OnLink(link_event event) override {
    std::lock_guard lock(mutex_);
    connected_ = connected_ || std::holds_alternative<peer_up>(event);
    changed_.notify_all();
  }

  void Dial(const std::string& address) { hub_->Dial(address); }
  std::string address() const { return "127.0.0.1:" + std::to_string(hub_->port()); }

  bool WaitForConnection() {
    std::unique_lock lock(mutex_);
    return changed_.wait_for(lock, std::chrono::seconds(15), [&] { return connected_; });
  }

 private:
  const system_clock time_;
  std::unique_ptr<peer_codec> codec_ = codec_registry::Instance().Create("cbor").value();
  std::mutex mutex_;
  std::condition_variable changed_;
  bool connected_ = false;
  std::unique_ptr<peer_hub> hub_;
};

/** Settings as a command line gives them. */
settings Settings(std::span<const setting_spec> specs, std::vector<std::string> flags) {
  flags.insert(flags.begin(), "program");
  flags.insert(flags.end(), {"--id=x", "--domain=d", "--peer-key=" + std::string(kKey)});
  std::vector<const char*> words;
  for (const auto& flag : flags) words.push_back(flag.c_str());
  return settings::Parse(words, specs).value();
}

TEST_CASE("an entry that cannot listen") {
  const taken_address taken;
  silent_server store;
  const system_clock time;
  const std::string peers = FreeAddress();

  SUBCASE("for its peers ends while its store still owes it an answer") {
    const settings values = Settings(
        EntrySettings(), {"--peer-listen=" + taken.text(), "--store-url=http://" + store.text()});
    auto node = std::make_unique<entry_node>(values, time);
    const auto started = node->Start();
    REQUIRE_FALSE(started);
    CHECK(started.error().step == "listen");
    REQUIRE(store.WaitForRequest());
    node.reset();
  }
  SUBCASE("for callers ends while a peer is connected") {
    const settings values =
        Settings(EntrySettings(), {"--peer-listen=" + peers, "--listen=" + taken.text(),
                                   "--store-url=http://" + store.text()});
    auto node = std::make_unique<entry_node>(values, time);
    REQUIRE_FALSE(node->Start());
    neighbour agent(peer_role::kUpstreamAgent);
    agent.Dial(peers);
    REQUIRE(agent.WaitForConnection());
    REQUIRE(store.WaitForRequest());
    node.reset();
  }
}

TEST_CASE("an agent that ends before it was told to stop, while an entry is connected") {
  const system_clock time;
  neighbour entry(peer_role::kEntry);
  std::vector<setting_spec> specs = PeerSettings();
  specs.push_back(AddressSetting("entries", "127.0.0.1:9000", true, "entries"));

  SUBCASE("beside an upstream") {
    specs.push_back(TextSetting("service", "orders", "service"));
    specs.push_back(TextSetting("upstream-url", "http://127.0.0.1:1", "URL"));
    specs.push_back(IntSetting("slots", 8, 1, 10000, "requests"));
    specs.push_back(IntSetting("connections", 8, 1, 10000, "connections"));
    const settings values = Settings(specs, {"--entries=" + entry.address()});
    upstream_agent agent(values, time);
    REQUIRE(agent.Start());
    REQUIRE(entry.WaitForConnection());
  }
  SUBCASE("beside a worker") {
    specs.push_back(TextSetting("rack", "r1", "rack"));
    specs.push_back(TextSetting("region", "", "region"));
    specs.push_back(TextSetting("worker-url", "http://127.0.0.1:1", "URL"));
    for (const auto* amount : {"accelerators", "cores", "memory-gb"}) {
      specs.push_back(IntSetting(amount, 8, 0, 1000, "amount"));
    }
    const settings values = Settings(specs, {"--entries=" + entry.address()});
    worker_agent agent(values, time);
    REQUIRE(agent.Start());
    REQUIRE(entry.WaitForConnection());
  }
}

/** Settings that always say the same. */
class placed_deployment : public deployment_source {
 public:
  explicit placed_deployment(deployment place) : place_(std::move(place)) {}
  result<deployment> Load(std::string_view) const override { return place_; }
  std::string_view path_variable() const override { return "SETTINGS"; }

 private:
  const deployment place_;
};

TEST_CASE("a batch process that cannot listen for its metrics") {
  const taken_address taken;
  silent_server store;
  const system_clock time;
  deployment place;
  place.node = "x";
  place.ip = "127.0.0.1";
  place.domain = "d";
  place.front_address = FreeAddress();
  place.ready_address = FreeAddress();
  place.control_address = FreeAddress();
  place.store_address = store.text();
  place.advice_address = store.text();
  place.directory_address = store.text();
  const auto port = [](const std::string& address) {
    return std::stoi(address.substr(address.rfind(':') + 1));
  };
  place.first_port = port(FreeAddress());
  place.last_port = port(taken.text());

  SUBCASE("ends as an entry while its store still owes it an answer") {
    auto node = std::make_unique<batch_entry>(place, time);
    REQUIRE_FALSE(node->Start());
    REQUIRE(store.WaitForRequest());
    node.reset();
  }
  SUBCASE("ends as an agent that has been dialling an entry") {
    place.seeds = {store.text()};
    const placed_deployment source(place);
    const deployment_file settings(source, "settings");
    auto node = std::make_unique<batch_agent>(place, settings, time);
    REQUIRE_FALSE(node->Start());
    node.reset();
  }
}

}  // namespace
}  // namespace eelgrass
