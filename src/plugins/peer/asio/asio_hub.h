/** \file
 * The transport between processes on standalone Asio.
 */
#pragma once

#include <asio/io_context.hpp>
#include <asio/ip/tcp.hpp>
#include <asio/steady_timer.hpp>
#include <atomic>
#include <map>
#include <memory>
#include <mutex>
#include <optional>
#include <string>
#include <thread>
#include <vector>

#include "kernel/base/bounded_ring.h"
#include "kernel/io/peer_hub.h"
#include "plugins/peer/asio/peer_lane.h"

namespace eelgrass {

/**
 * Runs all lanes on one thread. Both sides send a hello with a nonce, and then prove with an HMAC
 * over both nonces that they know the shared key; only then is a lane used.
 */
class asio_hub : public peer_hub, public lane_owner {
 public:
  asio_hub(hub_options options, const peer_codec& codec, const clock& time);
  ~asio_hub() override;

  result<void> Start(link_listener& listener) override;
  int port() const override { return port_; }
  void Dial(std::string_view address) override;
  void Undial(std::string_view address) override;
  bool Send(std::string_view peer, const peer_message& message) override;
  void Stop() override;
  hub_stats stats() const override;

 private:
  struct outgoing {
    std::string peer;
    std::string frame;
  };

  struct peer_state {
    hello identity;
    std::vector<std::shared_ptr<peer_lane>> lanes;
  };

  struct target {
    int connecting = 0;
    int failures = 0;
    millis next_dial{0};
    std::optional<asio::ip::tcp::endpoint> endpoint;  // none: the address cannot be called
  };

  void OnFrame(peer_lane& lane, std::string_view frame) override;
  void OnClosed(peer_lane& lane, std::string_view reason) override;
  millis LaneTime() const override { return clock_.Now(); }
  void CountBytes(size_t in, size_t out) override;

  void Accept();
  void Connect(const std::string& address, const asio::ip::tcp::endpoint& endpoint);
  std::shared_ptr<peer_lane> Open(asio::ip::tcp::socket socket, bool dialled);
  void SendHello(peer_lane& lane, bool with_proof);
  void OnHandshake(peer_lane& lane, const hello& message);
  std::string Proof(const hello& author, std::string_view other_nonce, bool author_dialled) const;
  void Establish(peer_lane& lane);
  void DropLanes(const std::string& peer, std::string_view reason);
  void DrainRing();
  std::shared_ptr<peer_lane> BestLane(const std::string& peer) const;
  void Tick();
  void KeepLane(peer_lane& lane);
  void KeepTarget(const std::string& address, target& goal);
  size_t HealthyLanes(const std::string& address) const;
  size_t AllLanes(const std::string& address) const;

  const hub_options options_;
  const peer_codec& codec_;
  const clock& clock_;
  link_listener* listener_ = nullptr;
  asio::io_context context_{1};
  asio::ip::tcp::acceptor acceptor_{context_};
  asio::steady_timer timer_{context_};
  std::thread thread_;
  bounded_ring<outgoing> ring_;
  std::atomic<bool> wake_pending_{false};
  int port_ = 0;
  bool stopping_ = false;
  uint64_t last_lane_ = 0;
  std::map<uint64_t, std::shared_ptr<peer_lane>> lanes_;
  std::map<std::string, peer_state, std::less<>> peers_;
  std::map<std::string, target, std::less<>> targets_;
  mutable std::mutex stats_mutex_;
  hub_stats stats_;
};

}  // namespace eelgrass
