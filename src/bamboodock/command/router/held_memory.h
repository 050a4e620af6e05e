#pragma once

#include "bamboodock/command/router/router_counters.h"
#include "bamboodock/core/clock.h"
#include "bamboodock/policy/upload_queue.h"
#include "bamboodock/transport/async_socket.h"

namespace bamboodock {

/// Memory that the network duty holds for callers and endpoints. Used on that duty's thread only.
class HeldMemory {
 public:
  HeldMemory(Bytes limit, const Clock& clock, RouterCounters& counters);

  MemoryBudget& budget() { return budget_; }
  UploadQueue& uploads() { return uploads_; }
  RouterCounters& counters() { return counters_; }

  /// Grows a claim to `size`, which may give up uploads to make room; false when there is no room
  /// and no upload left to give up, or when the upload to give up is the owner of the claim.
  asio::awaitable<bool> Grow(MemoryClaim& claim, Bytes size);

 private:
  const Clock& clock_;
  RouterCounters& counters_;
  MemoryBudget budget_;
  UploadQueue uploads_;
};

}  // namespace bamboodock
