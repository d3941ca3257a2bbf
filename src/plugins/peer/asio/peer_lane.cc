#include "plugins/peer/asio/peer_lane.h"

#include <asio/buffer.hpp>
#include <asio/read.hpp>
#include <asio/write.hpp>

namespace eelgrass {
namespace {

constexpr size_t kMaxFrameBytes = 8 << 20;
constexpr size_t kMaxQueuedBytes = 16 << 20;
constexpr size_t kMaxHandshakeBytes = 4 << 10;  // before the other side is known

}  // namespace

peer_lane::peer_lane(asio::ip::tcp::socket socket, lane_owner& owner, uint64_t number, bool dialled)
    : opened(owner.LaneTime()),
      socket_(std::move(socket)),
      owner_(owner),
      number_(number),
      dialled_(dialled),
      last_heard_(opened),
      last_written_(opened) {
  asio::error_code ignored;
  socket_.set_option(asio::ip::tcp::no_delay(true), ignored);
}

void peer_lane::StartReading() { ReadHeader(); }

void peer_lane::ReadHeader() {
  auto self = shared_from_this();
  asio::async_read(socket_, asio::buffer(header_), [self](asio::error_code error, size_t) {
    if (self->closed_) return;
    if (error) return self->Close("connection ended");
    size_t size = 0;
    for (unsigned char byte : self->header_) size = size << 8 | byte;
    self->last_heard_ = self->owner_.LaneTime();
    self->owner_.CountBytes(self->header_.size() + size, 0);
    if (size == 0) return self->ReadHeader();
    const size_t most = self->established ? kMaxFrameBytes : kMaxHandshakeBytes;
    if (size > most) return self->Close("frame too long");
    self->ReadBody(size);
  });
}

void peer_lane::ReadBody(size_t size) {
  body_.resize(size);
  auto self = shared_from_this();
  asio::async_read(socket_, asio::buffer(body_), [self](asio::error_code error, size_t) {
    if (self->closed_) return;
    if (error) return self->Close("connection ended");
    self->last_heard_ = self->owner_.LaneTime();
    self->owner_.OnFrame(*self, self->body_);
    if (!self->closed_) self->ReadHeader();
  });
}

void peer_lane::Write(std::string_view frame) {
  if (closed_) return;
  if (queued_bytes_ + frame.size() > kMaxQueuedBytes) return Close("peer reads too slowly");
  std::string packet;
  packet.reserve(frame.size() + header_.size());
  for (int shift = 24; shift >= 0; shift -= 8) {
    packet += static_cast<char>(frame.size() >> shift & 0xff);
  }
  packet += frame;
  queued_bytes_ += packet.size();
  queue_.push_back(std::move(packet));
  if (queue_.size() == 1) WriteNext();
}

void peer_lane::WriteNext() {
  auto self = shared_from_this();
  asio::async_write(socket_, asio::buffer(queue_.front()), [self](asio::error_code error, size_t) {
    if (self->closed_) return;
    if (error) return self->Close("connection ended");
    const size_t written = self->queue_.front().size();
    self->queued_bytes_ -= written;
    self->queue_.pop_front();
    self->last_written_ = self->owner_.LaneTime();
    self->owner_.CountBytes(0, written);
    if (!self->queue_.empty()) self->WriteNext();
  });
}

void peer_lane::Close(std::string_view reason) {
  if (closed_) return;
  closed_ = true;
  asio::error_code ignored;
  socket_.close(ignored);
  owner_.OnClosed(*this, reason);
}

}  // namespace eelgrass
