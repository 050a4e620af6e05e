#pragma once

#include <map>
#include <memory>
#include <mutex>
#include <vector>

#include "bamboodock/codec/attempt_message.h"
#include "bamboodock/core/duty.h"
#include "bamboodock/transport/message_channel.h"

namespace bamboodock {

/// Connection to a sidecar whose hello message has been received.
struct AttemptChannel {
  Address peer;
  std::unique_ptr<MessageChannel> channel;
  HelloMessage hello;
  MonotonicTime hello_received;

  /// Converts `time` to the sidecar's clock; the result is early by the hello's transit time.
  MonotonicTime OnSidecarClock(MonotonicTime time) const {
    return hello.clock + (time - hello_received);
  }
};

/// Closes connections on its own thread, because closing can block for seconds when the peer does
/// not respond.
class ChannelCloserDuty : public Duty<ChannelCloserDuty, std::unique_ptr<MessageChannel>> {
 public:
  ~ChannelCloserDuty() { Stop(); }
  void Handle(std::unique_ptr<MessageChannel>& channel) { channel.reset(); }
  MonotonicTime Tick() { return std::chrono::steady_clock::now() + std::chrono::hours(1); }
};

/// Pool of connections to sidecars. A connection carries one attempt at a time; any thread may use
/// the pool.
class ChannelPool {
 public:
  ChannelPool() { closer_.Start(); }
  ~ChannelPool();

  /// Takes an idle connection or opens a new one; fails with `kConnectionFailed`, in which case no
  /// attempt has been sent.
  ///
  /// @param force_new Whether to open a connection even if one is idle, because the previous one
  /// stopped responding.
  Result<AttemptChannel> Acquire(const Address& peer, bool force_new);
  /// Returns a connection to the pool after its exchange ended normally.
  void Release(AttemptChannel channel);
  /// Closes a connection that may be broken.
  void Discard(AttemptChannel channel);

 private:
  Result<AttemptChannel> Open(const Address& peer) const;

  std::mutex mutex_;
  std::map<Address, std::vector<AttemptChannel>> idle_;
  ChannelCloserDuty closer_;
};

}  // namespace bamboodock
