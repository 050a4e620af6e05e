#include "bamboodock/transport/message_channel.h"

#include <civetweb.h>

#include <array>
#include <cstring>
#include <random>
#include <utility>

#include "bamboodock/config/config.h"
#include "bamboodock/transport/internal/websocket_frame.h"

namespace bamboodock {
namespace {

constexpr int kWebSocketBinary = 2;
constexpr int kWebSocketOpcodeMask = 0x0f;
constexpr int kWebSocketClose = 8;
constexpr std::size_t kErrorBufferSize = 256;

internal::WebSocketMask RandomMask() {
  thread_local std::mt19937 engine{std::random_device{}()};
  const std::uint32_t bits = engine();
  internal::WebSocketMask mask{};
  std::memcpy(mask.data(), &bits, mask.size());
  return mask;
}

}  // namespace

Result<std::unique_ptr<MessageChannel>> MessageChannel::Connect(const Address& peer,
                                                                const std::string& path,
                                                                std::shared_ptr<MessageRing> ring) {
  std::unique_ptr<MessageChannel> channel(new MessageChannel());
  channel->ring_ = std::move(ring);
  std::array<char, kErrorBufferSize> error{};
  channel->connection_ =
      mg_connect_websocket_client(peer.ip.c_str(), peer.port, 0, error.data(), error.size(),
                                  path.c_str(), nullptr, &OnData, &OnClose, channel.get());
  if (channel->connection_ == nullptr) {
    return Raise(ResultCode::kConnectionFailed,
                 "cannot open a WebSocket connection to " + peer.ToString());
  }
  return channel;
}

MessageChannel::~MessageChannel() {
  Receive(nullptr);
  if (connection_ == nullptr) return;
  mg_websocket_client_write(connection_, MG_WEBSOCKET_OPCODE_CONNECTION_CLOSE, "", 0);
  mg_close_connection(connection_);
}

void MessageChannel::Receive(std::shared_ptr<MessageRing> ring) {
  const std::lock_guard lock(mutex_);
  ring_ = std::move(ring);
  if (ring_ && !open_) ring_->Close();
}

bool MessageChannel::Send(std::string_view message) {
  if (!open_) return false;
  const std::string frame = internal::EncodeClientFrame(message, RandomMask());
  mg_lock_connection(connection_);
  const int written = mg_write(connection_, frame.data(), frame.size());
  mg_unlock_connection(connection_);
  return written > 0;
}

int MessageChannel::OnData(mg_connection* /*connection*/, int bits, char* data, std::size_t size,
                           void* self) {
  auto& channel = *static_cast<MessageChannel*>(self);
  const int opcode = bits & kWebSocketOpcodeMask;
  if (opcode == kWebSocketClose) return 0;
  if (opcode != kWebSocketBinary) return 1;
  std::shared_ptr<MessageRing> ring;
  {
    const std::lock_guard lock(channel.mutex_);
    ring = channel.ring_;
  }
  if (!ring) return 1;
  // A reader that leaves the ring full for this long has lost its caller, so the exchange ends.
  const MonotonicTime deadline = std::chrono::steady_clock::now() + config::kGracePeriod;
  if (!ring->PushUntil(std::string(data, size), deadline)) ring->Close();
  return 1;
}

void MessageChannel::OnClose(const mg_connection* /*connection*/, void* self) {
  auto& channel = *static_cast<MessageChannel*>(self);
  const std::lock_guard lock(channel.mutex_);
  channel.open_ = false;
  if (channel.ring_) channel.ring_->Close();
}

}  // namespace bamboodock
