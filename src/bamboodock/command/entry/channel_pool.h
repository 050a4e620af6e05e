#pragma once

#include <map>
#include <memory>
#include <mutex>
#include <vector>

#include "bamboodock/codec/attempt_message.h"
#include "bamboodock/core/duty.h"
#include "bamboodock/transport/message_channel.h"

namespace bamboodock {

/// Connection to a sidecar that has sent its hello.
struct AttemptChannel {
  Address peer;
  std::unique_ptr<MessageChannel> channel;
  HelloMessage hello;
  MonotonicTime hello_received;

  /// `time` of this process on the sidecar's clock, or slightly before it.
  MonotonicTime OnSidecarClock(MonotonicTime time) const {
    return hello.clock + (time - hello_received);
  }
};

/// Closes connections, which may wait for seconds when the peer is silent.
class ChannelCloserDuty : public Duty<ChannelCloserDuty, std::unique_ptr<MessageChannel>> {
 public:
  ~ChannelCloserDuty() { Stop(); }
  void Handle(std::unique_ptr<MessageChannel>& channel) { channel.reset(); }
  MonotonicTime Tick() { return std::chrono::steady_clock::now() + std::chrono::hours(1); }
};

/// Open connections to sidecars, one attempt at a time on each.
class ChannelPool {
 public:
  ChannelPool() { closer_.Start(); }
  ~ChannelPool();

  /// Takes an idle connection or opens one; fails with `kConnectionFailed`, nothing sent.
  ///
  /// @param fresh Whether an idle connection will not do, because the last one went silent.
  Result<AttemptChannel> Acquire(const Address& peer, bool force_new);
  /// Gives back a connection whose exchange ended in order.
  void Release(AttemptChannel channel);
  /// Gives up a connection that may be broken.
  void Discard(AttemptChannel channel);

 private:
  Result<AttemptChannel> Open(const Address& peer) const;

  std::mutex mutex_;
  std::map<Address, std::vector<AttemptChannel>> idle_;
  ChannelCloserDuty closer_;
};

}  // namespace bamboodock
