#include "bamboodock/command/entry/channel_pool.h"

#include <utility>

namespace bamboodock {
namespace {

/// Maximum number of idle connections kept for each sidecar.
constexpr std::size_t kMaxIdlePerPeer = 32;
constexpr std::size_t kHelloRingCapacity = 4;

}  // namespace

ChannelPool::~ChannelPool() {
  idle_.clear();
  closer_.Stop();
}

Result<AttemptChannel> ChannelPool::Acquire(const Address& peer, bool force_new) {
  {
    const std::lock_guard lock(mutex_);
    std::vector<AttemptChannel>& idle = idle_[peer];
    while (!force_new && !idle.empty()) {
      AttemptChannel channel = std::move(idle.back());
      idle.pop_back();
      if (channel.channel->open()) return channel;
      closer_.Post(std::move(channel.channel));
    }
  }
  return Open(peer);
}

void ChannelPool::Release(AttemptChannel channel) {
  channel.channel->Receive(nullptr);
  {
    const std::lock_guard lock(mutex_);
    std::vector<AttemptChannel>& idle = idle_[channel.peer];
    if (channel.channel->open() && idle.size() < kMaxIdlePerPeer) {
      idle.push_back(std::move(channel));
      return;
    }
  }
  closer_.Post(std::move(channel.channel));
}

void ChannelPool::Discard(AttemptChannel channel) {
  channel.channel->Receive(nullptr);
  closer_.Post(std::move(channel.channel));
}

Result<AttemptChannel> ChannelPool::Open(const Address& peer) const {
  auto ring = std::make_shared<MessageRing>(kHelloRingCapacity);
  AttemptChannel channel;
  channel.peer = peer;
  BOOST_LEAF_ASSIGN(channel.channel, MessageChannel::Connect(peer, kAttemptPath, ring));
  const auto deadline = std::chrono::steady_clock::now() + config::kControlTimeout;
  const std::optional<std::string> message = ring->PopUntil(deadline);
  if (!message) return Raise(ResultCode::kConnectionFailed, "no hello from " + peer.ToString());
  BOOST_LEAF_AUTO(decoded, DecodeSidecarMessage(*message));
  const auto* hello = std::get_if<HelloMessage>(&decoded);
  if (hello == nullptr) return Raise(ResultCode::kConnectionFailed, "first message is not a hello");
  channel.hello = *hello;
  channel.hello_received = std::chrono::steady_clock::now();
  channel.channel->Receive(nullptr);
  return channel;
}

}  // namespace bamboodock
