#include "plugins/peer/asio/asio_hub.h"

#include <pthread.h>

#include <algorithm>
#include <asio/post.hpp>

#include "kernel/base/address.h"
#include "kernel/base/digest.h"
#include "kernel/base/log_event.h"

namespace eelgrass {
namespace {

constexpr millis kTick{200};
constexpr millis kHandshakeTimeout{1000};

/** A connection that is not there by now is tried anew: the system's own next try takes seconds. */
constexpr millis kConnectTimeout{600};

constexpr int kNonceBytes = 16;
constexpr size_t kMostLanesPerTarget = 4;
constexpr millis kFirstBackoff{100};
constexpr millis kMaxBackoff{2000};
constexpr int kMaxDoublings = 5;

/** How lanes of a kind of connection are kept. */
struct lane_pace {
  size_t lanes;      // wanted for each address
  millis keepalive;  // an idle lane sends an empty frame this often
  millis suspect;    // a lane not heard for this long gets a substitute
  millis silence;    // a lane not heard for this long is abandoned
};

constexpr lane_pace kRequestPace{2, millis(250), millis(450), millis(700)};
constexpr lane_pace kWorkerPace{1, millis(1000), millis(1800), millis(2500)};

const lane_pace& PaceOf(peer_role own, peer_role other) {
  const bool worker = own == peer_role::kWorkerAgent || other == peer_role::kWorkerAgent;
  return worker ? kWorkerPace : kRequestPace;
}

/** Where an address is; nothing if it is not IP:PORT. */
std::optional<asio::ip::tcp::endpoint> EndpointOf(std::string_view address) {
  const auto parts = ParseAddress(address);
  if (!parts || parts->form == host_form::kName) return std::nullopt;
  asio::error_code error;
  const auto host = asio::ip::make_address(std::string(parts->host), error);
  if (error) return std::nullopt;
  return asio::ip::tcp::endpoint(host, static_cast<unsigned short>(parts->port));
}

}  // namespace

asio_hub::asio_hub(hub_options options, const peer_codec& codec, const clock& time)
    : options_(std::move(options)), codec_(codec), clock_(time), ring_(options_.ring_capacity) {}

asio_hub::~asio_hub() { Stop(); }

result<void> asio_hub::Start(link_listener& listener) {
  listener_ = &listener;
  if (!options_.listen.empty()) {
    const auto endpoint = EndpointOf(options_.listen);
    if (!endpoint) return Fail(error_kind::kInvalid, "listen", options_.listen, "no IP:PORT");
    asio::error_code error;
    acceptor_.open(endpoint->protocol(), error);
    if (!error) acceptor_.set_option(asio::ip::tcp::acceptor::reuse_address(true), error);
    if (!error) acceptor_.bind(*endpoint, error);
    if (!error) acceptor_.listen(asio::socket_base::max_listen_connections, error);
    if (error) return Fail(error_kind::kUnavailable, "listen", options_.listen, error.message());
    port_ = acceptor_.local_endpoint().port();
    Accept();
  }
  Tick();
  thread_ = std::thread([this] { context_.run(); });
  pthread_setname_np(thread_.native_handle(), "peer-io");
  return Ok();
}

void asio_hub::Dial(std::string_view address) {
  asio::post(context_, [this, key = std::string(address)] {
    const auto [known, added] = targets_.try_emplace(key);
    target& goal = known->second;
    if (added && IsCallableIp(key)) goal.endpoint = EndpointOf(key);
    if (added && !goal.endpoint) {
      log_event("peer-address-refused", log_level::kWarning).With("address", key);
    }
    KeepTarget(key, goal);
  });
}

void asio_hub::Undial(std::string_view address) {
  asio::post(context_, [this, key = std::string(address)] {
    targets_.erase(key);
    const auto lanes = lanes_;
    for (const auto& [number, lane] : lanes) {
      if (lane->dialled() && lane->address == key) lane->Close("no longer needed");
    }
  });
}

bool asio_hub::Send(std::string_view peer, const peer_message& message) {
  outgoing item{std::string(peer), codec_.Encode(message)};
  if (!ring_.TryPush(std::move(item))) {
    std::lock_guard lock(stats_mutex_);
    ++stats_.dropped_sends;
    return false;
  }
  if (!wake_pending_.exchange(true)) asio::post(context_, [this] { DrainRing(); });
  return true;
}

void asio_hub::Stop() {
  if (!thread_.joinable()) return;
  ring_.Close();
  asio::post(context_, [this] {
    DrainRing();
    stopping_ = true;
    timer_.cancel();
    asio::error_code ignored;
    acceptor_.close(ignored);
    // Lanes that still have something to send get one more tick to do so.
    timer_.expires_after(std::chrono::milliseconds(kTick.count()));
    timer_.async_wait([this](asio::error_code) {
      const auto lanes = lanes_;
      for (const auto& [number, lane] : lanes) lane->Close("stopping");
      context_.stop();
    });
  });
  thread_.join();
}

hub_stats asio_hub::stats() const {
  std::lock_guard lock(stats_mutex_);
  return stats_;
}

void asio_hub::CountBytes(size_t in, size_t out) {
  std::lock_guard lock(stats_mutex_);
  stats_.bytes_in += in;
  stats_.bytes_out += out;
  if (in > 0) ++stats_.frames_in;
  if (out > 0) ++stats_.frames_out;
}

void asio_hub::Accept() {
  acceptor_.async_accept([this](asio::error_code error, asio::ip::tcp::socket socket) {
    if (stopping_ || error == asio::error::operation_aborted) return;
    if (!error) Open(std::move(socket), false);
    Accept();
  });
}

void asio_hub::Connect(const std::string& address, const asio::ip::tcp::endpoint& endpoint) {
  auto socket = std::make_shared<asio::ip::tcp::socket>(context_);
  auto limit = std::make_shared<asio::steady_timer>(
      context_, std::chrono::milliseconds(kConnectTimeout.count()));
  limit->async_wait([socket](asio::error_code cancelled) {
    asio::error_code ignored;
    if (!cancelled) socket->close(ignored);
  });
  socket->async_connect(endpoint, [this, address, socket, limit](asio::error_code error) {
    limit->cancel();
    if (!error && !socket->is_open()) error = asio::error::timed_out;
    const auto goal = targets_.find(address);
    if (goal == targets_.end() || stopping_) return;
    --goal->second.connecting;
    if (error) {
      if (error == asio::error::connection_refused) listener_->OnLink(peer_refused{address});
      const int doublings = std::min(goal->second.failures++, kMaxDoublings);
      goal->second.next_dial =
          clock_.Now() + std::min(kMaxBackoff, kFirstBackoff * (int64_t{1} << doublings));
      return;
    }
    goal->second.failures = 0;
    Open(std::move(*socket), true)->address = address;
  });
}

std::shared_ptr<peer_lane> asio_hub::Open(asio::ip::tcp::socket socket, bool dialled) {
  auto lane = std::make_shared<peer_lane>(std::move(socket), *this, ++last_lane_, dialled);
  lanes_[lane->number()] = lane;
  lane->own_nonce = RandomHex(kNonceBytes);
  SendHello(*lane, false);
  lane->StartReading();
  return lane;
}

void asio_hub::SendHello(peer_lane& lane, bool with_proof) {
  hello message = options_.self;
  message.nonce = lane.own_nonce;
  if (with_proof) message.mac = Proof(message, lane.peer.nonce, lane.dialled());
  lane.Write(codec_.Encode(message));
}

std::string asio_hub::Proof(const hello& author, std::string_view other_nonce,
                            bool author_dialled) const {
  std::string text = author_dialled ? "dialler\n" : "acceptor\n";
  text += author.id + "\n" + std::to_string(author.incarnation) + "\n";
  text += std::to_string(static_cast<int>(author.role)) + "\n";
  text += author.address + "\n" + author.domain + "\n" + author.nonce + "\n";
  text += other_nonce;
  return HmacHex(options_.shared_key, text);
}

void asio_hub::OnFrame(peer_lane& lane, std::string_view frame) {
  auto message = codec_.Decode(frame);
  if (!message) {
    log_event("frame-refused", log_level::kWarning)
        .With("peer", lane.peer.id)
        .With("detail", message.error().detail);
    lane.Close("malformed frame");
    return;
  }
  if (const auto* greeting = std::get_if<hello>(&message.value())) {
    OnHandshake(lane, *greeting);
    return;
  }
  if (!lane.established) {
    lane.Close("message before the handshake");
    return;
  }
  listener_->OnLink(peer_said{lane.peer.id, std::move(message.value())});
}

void asio_hub::OnHandshake(peer_lane& lane, const hello& message) {
  if (lane.established) return;
  if (message.mac.empty()) {
    lane.peer = message;
    SendHello(lane, true);
    return;
  }
  const std::string expected = Proof(message, lane.own_nonce, !lane.dialled());
  const bool same_nonce = message.nonce == lane.peer.nonce;
  if (!same_nonce || !EqualInConstantTime(expected, message.mac)) {
    {
      std::lock_guard lock(stats_mutex_);
      ++stats_.refused_peers;
    }
    log_event("peer-refused", log_level::kWarning).With("peer", message.id);
    lane.Close("wrong proof of the shared key");
    return;
  }
  lane.peer = message;
  Establish(lane);
}

/**
 * Incarnations are ordered by the time of day of their start, which may be set back. So the order
 * counts only while the other one is connected; a process that has ended is soon no more.
 */
void asio_hub::Establish(peer_lane& lane) {
  const auto known = peers_.find(lane.peer.id);
  if (known != peers_.end()) {
    const int64_t current = known->second.identity.incarnation;
    if (lane.peer.incarnation < current) {
      log_event("earlier-incarnation-refused", log_level::kWarning)
          .With("peer", lane.peer.id)
          .With("incarnation", lane.peer.incarnation)
          .With("connected", current);
      return lane.Close("a later incarnation is connected");
    }
    if (lane.peer.incarnation > current) DropLanes(lane.peer.id, "replaced");
  }
  lane.established = true;
  peer_state& peer = peers_[lane.peer.id];
  const bool first = peer.lanes.empty();
  peer.identity = lane.peer;
  peer.lanes.push_back(lane.shared_from_this());
  if (first) listener_->OnLink(peer_up{lane.peer});
}

void asio_hub::DropLanes(const std::string& peer, std::string_view reason) {
  const auto known = peers_.find(peer);
  if (known == peers_.end()) return;
  const auto lanes = known->second.lanes;
  for (const auto& lane : lanes) lane->Close(reason);
}

void asio_hub::OnClosed(peer_lane& lane, std::string_view reason) {
  const auto keep = lane.shared_from_this();
  lanes_.erase(lane.number());
  if (!lane.established || stopping_) return;
  {
    std::lock_guard lock(stats_mutex_);
    ++stats_.lanes_lost;
  }
  log_event("lane-lost").With("peer", lane.peer.id).With("reason", reason);
  const auto known = peers_.find(lane.peer.id);
  std::erase(known->second.lanes, keep);
  const bool last = known->second.lanes.empty();
  if (last) peers_.erase(known);
  listener_->OnLink(lane_lost{lane.peer.id});
  if (last) listener_->OnLink(peer_down{lane.peer.id, lane.peer.incarnation});
}

void asio_hub::DrainRing() {
  wake_pending_ = false;
  std::vector<outgoing> batch;
  constexpr size_t kAll = SIZE_MAX;
  ring_.PopBatch(batch, kAll, millis(0));
  for (const auto& item : batch) {
    const auto lane = BestLane(item.peer);
    if (lane) {
      lane->Write(item.frame);
      continue;
    }
    std::lock_guard lock(stats_mutex_);
    ++stats_.dropped_sends;
  }
}

std::shared_ptr<peer_lane> asio_hub::BestLane(const std::string& peer) const {
  const auto known = peers_.find(peer);
  if (known == peers_.end()) return nullptr;
  std::shared_ptr<peer_lane> best;
  for (const auto& lane : known->second.lanes) {
    if (!best || lane->last_heard() > best->last_heard()) best = lane;
  }
  return best;
}

void asio_hub::Tick() {
  const auto lanes = lanes_;
  for (const auto& [number, lane] : lanes) KeepLane(*lane);
  for (auto& [address, goal] : targets_) KeepTarget(address, goal);
  timer_.expires_after(std::chrono::milliseconds(kTick.count()));
  timer_.async_wait([this](asio::error_code error) {
    if (!error && !stopping_) Tick();
  });
}

void asio_hub::KeepLane(peer_lane& lane) {
  const millis now = clock_.Now();
  if (!lane.established) {
    if (now - lane.opened > kHandshakeTimeout) lane.Close("no handshake in time");
    return;
  }
  const lane_pace& pace = PaceOf(options_.self.role, lane.peer.role);
  if (now - lane.last_heard() > pace.silence) {
    lane.Close("silent");
    return;
  }
  if (lane.idle() && now - lane.last_written() >= pace.keepalive) lane.Write({});
}

void asio_hub::KeepTarget(const std::string& address, target& goal) {
  if (!goal.endpoint || goal.connecting > 0 || clock_.Now() < goal.next_dial) return;
  const lane_pace& pace = PaceOf(options_.self.role, options_.self.role);
  const bool enough = HealthyLanes(address) >= pace.lanes;
  if (enough || AllLanes(address) >= kMostLanesPerTarget) return;
  ++goal.connecting;
  Connect(address, *goal.endpoint);
}

size_t asio_hub::HealthyLanes(const std::string& address) const {
  const lane_pace& pace = PaceOf(options_.self.role, options_.self.role);
  const millis oldest = clock_.Now() - pace.suspect;
  return static_cast<size_t>(std::count_if(lanes_.begin(), lanes_.end(), [&](const auto& entry) {
    return entry.second->address == address && entry.second->last_heard() >= oldest;
  }));
}

size_t asio_hub::AllLanes(const std::string& address) const {
  return static_cast<size_t>(std::count_if(lanes_.begin(), lanes_.end(), [&](const auto& entry) {
    return entry.second->address == address;
  }));
}

namespace {
const hub_registration<asio_hub> kRegistration("asio");
}

}  // namespace eelgrass
