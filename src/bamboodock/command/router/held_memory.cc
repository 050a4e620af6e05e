#include "bamboodock/command/router/held_memory.h"

#include <boost/asio/post.hpp>

namespace bamboodock {

HeldMemory::HeldMemory(Bytes limit, const Clock& clock, RouterCounters& counters)
    : clock_(clock), counters_(counters), budget_(limit, counters.held_bytes) {
  counters_.held_bytes_limit = limit.value();
}

asio::awaitable<bool> HeldMemory::Grow(MemoryClaim& claim, Bytes size) {
  while (!claim.GrowTo(size)) {
    Upload* const oldest = uploads_.TakeOldest(clock_.Now());
    if (oldest == nullptr || &oldest->claim() == &claim) co_return false;
    oldest->GiveUp();
    // Lets the owner of the upload release its claim, or serve the request if it has ended.
    const asio::any_io_executor executor = co_await asio::this_coro::executor;
    co_await asio::post(executor, asio::use_awaitable);
  }
  co_return true;
}

}  // namespace bamboodock
