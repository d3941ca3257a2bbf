#include <doctest/doctest.h>

#include <asio/connect.hpp>
#include <asio/io_context.hpp>
#include <asio/ip/tcp.hpp>
#include <asio/write.hpp>
#include <chrono>
#include <condition_variable>
#include <mutex>
#include <thread>

#include "kernel/base/system_clock.h"
#include "kernel/io/peer_hub.h"
#include "tests/world/line_collector.h"

namespace eelgrass {
namespace {

/** Notes what happens and lets a test wait for it. */
class recorder : public link_listener {
 public:
  void OnLink(link_event event) override {
    std::lock_guard lock(mutex_);
    events_.push_back(std::move(event));
    changed_.notify_all();
  }

  template <typename Event>
  bool WaitFor(int count = 1) {
    std::unique_lock lock(mutex_);
    return changed_.wait_for(lock, std::chrono::seconds(15),
                             [&] { return Count<Event>() >= count; });
  }

  template <typename Event>
  int CountNow() {
    std::lock_guard lock(mutex_);
    return Count<Event>();
  }

 private:
  template <typename Event>
  int Count() const {
    int count = 0;
    for (const auto& event : events_) count += std::holds_alternative<Event>(event) ? 1 : 0;
    return count;
  }

  std::mutex mutex_;
  std::condition_variable changed_;
  std::vector<link_event> events_;
};

/** A hub with its listener. */
struct station {
  station(const std::string& id, peer_role role, const std::string& key, int64_t incarnation = 1) {
    hub_options options;
    options.self = {id, incarnation, role, "127.0.0.1:0", "d", {}, {}};
    options.listen = "127.0.0.1:0";
    options.shared_key = key;
    hub = hub_registry::Instance().Create("asio", options, *codec, time).value();
    REQUIRE(hub->Start(seen).has_value());
  }
  ~station() { hub->Stop(); }

  std::string address() const { return "127.0.0.1:" + std::to_string(hub->port()); }

  system_clock time;
  std::unique_ptr<peer_codec> codec = codec_registry::Instance().Create("cbor").value();
  recorder seen;
  std::unique_ptr<peer_hub> hub;
};

TEST_CASE("two processes with the same key") {
  station entry("e1", peer_role::kEntry, "the-shared-key-of-all");
  station agent("u1", peer_role::kUpstreamAgent, "the-shared-key-of-all");
  agent.hub->Dial(entry.address());
  REQUIRE(entry.seen.WaitFor<peer_up>());
  REQUIRE(agent.seen.WaitFor<peer_up>());

  SUBCASE("exchange messages in both directions") {
    CHECK(agent.hub->Send("e1", slot_credit{3}));
    CHECK(entry.seen.WaitFor<peer_said>());
    CHECK(entry.hub->Send("u1", slot_demand{2}));
    CHECK(agent.seen.WaitFor<peer_said>());
  }
  SUBCASE("notice when the other ends") {
    agent.hub->Stop();
    CHECK(entry.seen.WaitFor<peer_down>());
  }
  SUBCASE("a new incarnation replaces the old one") {
    station again("u1", peer_role::kUpstreamAgent, "the-shared-key-of-all", 2);
    again.hub->Dial(entry.address());
    CHECK(entry.seen.WaitFor<peer_up>(2));
    CHECK(entry.seen.WaitFor<peer_down>());
  }
  // Refused for ever, an entry whose clock had been set back never got an agent again.
  SUBCASE("an incarnation that began at an earlier time of day replaces one that has ended") {
    agent.hub->Stop();
    REQUIRE(entry.seen.WaitFor<peer_down>());
    station again("u1", peer_role::kUpstreamAgent, "the-shared-key-of-all", 0);
    again.hub->Dial(entry.address());
    CHECK(entry.seen.WaitFor<peer_up>(2));
    CHECK(again.seen.WaitFor<peer_up>());
    SUBCASE("and is replaced by one that began later") {
      station third("u1", peer_role::kUpstreamAgent, "the-shared-key-of-all", 1);
      third.hub->Dial(entry.address());
      CHECK(entry.seen.WaitFor<peer_up>(3));
    }
  }
  SUBCASE("an incarnation that began earlier does not replace one that is connected") {
    station earlier("u1", peer_role::kUpstreamAgent, "the-shared-key-of-all", 0);
    earlier.hub->Dial(entry.address());
    std::this_thread::sleep_for(std::chrono::milliseconds(700));  // several tries
    CHECK(entry.seen.CountNow<peer_up>() == 1);
    CHECK(entry.seen.CountNow<peer_down>() == 0);
  }
}

TEST_CASE("a process with another key is not let in") {
  station entry("e1", peer_role::kEntry, "the-shared-key-of-all");
  station stranger("u9", peer_role::kUpstreamAgent, "some-other-key-of-all");
  stranger.hub->Dial(entry.address());
  while (entry.hub->stats().refused_peers == 0 && stranger.hub->stats().refused_peers == 0) {
    std::this_thread::sleep_for(std::chrono::milliseconds(10));
  }
  CHECK(entry.seen.CountNow<peer_up>() == 0);
  CHECK(stranger.seen.CountNow<peer_up>() == 0);
}

TEST_CASE("a peer's address that is not IP:PORT calls nobody, and the others hold") {
  station stranger("e1", peer_role::kEntry, "the-shared-key-of-all");
  station entry("e2", peer_role::kEntry, "the-shared-key-of-all");
  const std::string port = std::to_string(stranger.hub->port());
  const std::string odd = "entry-1:" + port;
  {
    const line_collector lines;
    station agent("u1", peer_role::kUpstreamAgent, "the-shared-key-of-all");
    for (const std::string& address :
         {odd, odd, port, ":" + port, "x y:" + port, "0:" + port, "127.0.0:" + port,
          "127.0.0.1:" + port + "x", "127.0.0.1: " + port,
          "127.0.0.1:" + std::to_string(stranger.hub->port() + 65536)}) {
      agent.hub->Dial(address);
    }
    agent.hub->Dial(entry.address());
    REQUIRE(entry.seen.WaitFor<peer_up>());
    agent.hub->Dial(odd);
    std::this_thread::sleep_for(std::chrono::milliseconds(500));  // two rounds of looking after it
    agent.hub->Stop();
    const std::string logged = lines.text();
    const size_t named = logged.find("address=" + odd);
    CHECK(named != std::string::npos);
    CHECK(logged.find("address=" + odd, named + 1) == std::string::npos);
    CHECK(agent.seen.CountNow<peer_up>() == 1);
  }
  CHECK(stranger.seen.CountNow<peer_up>() == 0);
}

TEST_CASE("a connection that sends rubbish is closed and harms nobody") {
  station entry("e1", peer_role::kEntry, "the-shared-key-of-all");
  asio::io_context context;
  asio::ip::tcp::socket socket(context);
  const auto port = static_cast<unsigned short>(entry.hub->port());
  socket.connect({asio::ip::make_address("127.0.0.1"), port});

  SUBCASE("a length beyond the bound") {
    const unsigned char header[] = {0x7f, 0xff, 0xff, 0xff};
    asio::write(socket, asio::buffer(header));
  }
  SUBCASE("a frame that is no message") {
    const unsigned char frame[] = {0, 0, 0, 3, 'a', 'b', 'c'};
    asio::write(socket, asio::buffer(frame));
  }
  SUBCASE("a message before the handshake") {
    const std::string content = entry.codec->Encode(slot_credit{1000});
    std::string frame(3, '\0');
    frame += static_cast<char>(content.size());
    asio::write(socket, asio::buffer(frame + content));
  }
  asio::error_code ended;
  std::array<char, 4096> buffer{};
  while (!ended) socket.read_some(asio::buffer(buffer), ended);
  CHECK(entry.seen.CountNow<peer_said>() == 0);

  station agent("u1", peer_role::kUpstreamAgent, "the-shared-key-of-all");
  agent.hub->Dial(entry.address());
  CHECK(entry.seen.WaitFor<peer_up>());
}

}  // namespace
}  // namespace eelgrass
