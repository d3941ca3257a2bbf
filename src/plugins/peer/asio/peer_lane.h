/** \file
 * One connection between two processes.
 */
#pragma once

#include <array>
#include <asio/ip/tcp.hpp>
#include <cstdint>
#include <deque>
#include <memory>
#include <string>
#include <string_view>

#include "kernel/base/millis.h"
#include "kernel/model/messages.h"

namespace eelgrass {

class peer_lane;

/** What a lane tells its owner, on the transport's thread. */
class lane_owner {
 public:
  virtual ~lane_owner() = default;
  virtual void OnFrame(peer_lane& lane, std::string_view frame) = 0;
  virtual void OnClosed(peer_lane& lane, std::string_view reason) = 0;
  virtual millis LaneTime() const = 0;
  virtual void CountBytes(size_t in, size_t out) = 0;
};

/**
 * A TCP stream of frames: a length in four bytes, big-endian, then the content. An empty frame
 * keeps the connection alive.
 */
class peer_lane : public std::enable_shared_from_this<peer_lane> {
 public:
  peer_lane(asio::ip::tcp::socket socket, lane_owner& owner, uint64_t number, bool dialled);

  void StartReading();
  void Write(std::string_view frame);
  void Close(std::string_view reason);

  uint64_t number() const { return number_; }
  bool dialled() const { return dialled_; }
  bool closed() const { return closed_; }
  bool idle() const { return queue_.empty(); }
  millis last_heard() const { return last_heard_; }
  millis last_written() const { return last_written_; }

  std::string address;  // that was dialled
  std::string own_nonce;
  hello peer;                // of the other side; id empty before its hello
  bool established = false;  // the other side has proved that it knows the key
  millis opened{0};

 private:
  void ReadHeader();
  void ReadBody(size_t size);
  void WriteNext();

  asio::ip::tcp::socket socket_;
  lane_owner& owner_;
  const uint64_t number_;
  const bool dialled_;
  std::array<unsigned char, 4> header_{};
  std::string body_;
  std::deque<std::string> queue_;
  size_t queued_bytes_ = 0;
  millis last_heard_;
  millis last_written_;
  bool closed_ = false;
};

}  // namespace eelgrass
