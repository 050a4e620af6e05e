#pragma once

#include <atomic>
#include <functional>
#include <memory>
#include <mutex>
#include <string>
#include <string_view>

#include "bamboodock/core/bounded_ring.h"
#include "bamboodock/core/result.h"
#include "bamboodock/transport/address.h"

struct mg_connection;

namespace bamboodock {

/// Queue of the messages received in one exchange.
using MessageRing = BoundedRing<std::string>;

/// WebSocket client connection; CivetWeb reads it on a thread of its own.
///
/// A message that finds the ring still full after `config::kGracePeriod` closes the ring.
class MessageChannel {
 public:
  ~MessageChannel();
  MessageChannel(const MessageChannel&) = delete;
  MessageChannel& operator=(const MessageChannel&) = delete;

  /// Connects to `ws://peer/path` and pushes received messages to `ring`.
  ///
  /// Fails with `kConnectionFailed`.
  static Result<std::unique_ptr<MessageChannel>> Connect(const Address& peer,
                                                         const std::string& path,
                                                         std::shared_ptr<MessageRing> ring);

  /// Pushes messages received from now on to `ring`; null discards them. The ring is closed when
  /// the connection is.
  void Receive(std::shared_ptr<MessageRing> ring);
  /// Sends one binary message; false when the connection is closed or the write fails.
  bool Send(std::string_view message);
  bool open() const { return open_; }

 private:
  MessageChannel() = default;
  static int OnData(mg_connection* connection, int bits, char* data, std::size_t size, void* self);
  static void OnClose(const mg_connection* connection, void* self);

  mg_connection* connection_ = nullptr;
  std::atomic<bool> open_{true};
  std::mutex mutex_;
  std::shared_ptr<MessageRing> ring_;
};

}  // namespace bamboodock
