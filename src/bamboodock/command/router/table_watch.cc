#include "bamboodock/command/router/table_watch.h"

#include <algorithm>
#include <utility>

namespace bamboodock {
namespace {

/// Delay before the first retry while the store does not answer; doubles up to the maximum of the
/// table.
constexpr std::chrono::milliseconds kInitialRetryDelay{180};
constexpr std::uint32_t kMaxDoublings = 5;
/// A table is listed again without a pause if its last listing is older than this.
constexpr std::chrono::milliseconds kListingInterval{600};
/// Time within which endpoints that are alive register again after the store's return.
constexpr std::chrono::milliseconds kRegistrationGrace{2200};
/// Time for which registrations are kept that a copy lacks. Endpoints that are alive are back about
/// two seconds after the store's return, but one that has left in the meantime must get no requests
/// after two seconds, of which noticing the return and ending the hold take up to 0.4.
constexpr std::chrono::milliseconds kMissingRegistrationGrace{1600};
/// Time for which orders are kept that an older copy contradicts, so that they can be written
/// again.
constexpr std::chrono::seconds kOrderRewriteTime{30};
/// The same for the states of endpoints, which renew their registrations every few seconds.
constexpr std::chrono::seconds kRegistrationRewriteTime{10};
/// Shortest interval of calls that are sent again without a pause, so that a store whose answers
/// state eras in turns is not called in a loop.
constexpr std::chrono::milliseconds kUnpausedCallInterval{600};

}  // namespace

// Requests with a key depend on the operator's table, so its recovery must be detected soon. The
// wait bounds the age of the known state.
const TableTiming kOperatorTiming{.feed_wait = std::chrono::milliseconds(1000),
                                  .batch_delay = std::chrono::milliseconds(0),
                                  .max_retry_delay = kInitialRetryDelay,
                                  .retention = {.expiry_grace = Duration::zero(),
                                                .missing_grace = kOrderRewriteTime,
                                                .outdated_hold = kOrderRewriteTime,
                                                .redelivers_survivors = true}};

// Changes end a feed call at once, and keep-alive probes detect a dead connection, so the calls can
// be long. An endpoint that drains must get no requests after 2 s. Endpoints whose registration
// expired in an outage are registered again within the grace time.
const TableTiming kEndpointTiming{.feed_wait = std::chrono::milliseconds(3000),
                                  .batch_delay = std::chrono::milliseconds(500),
                                  .max_retry_delay = std::chrono::milliseconds(600),
                                  .retention = {.expiry_grace = kRegistrationGrace,
                                                .missing_grace = kMissingRegistrationGrace,
                                                .outdated_hold = kRegistrationRewriteTime,
                                                .redelivers_survivors = false}};

// The other tables notice the end of an outage earlier, and have this one called again then. The
// rows are written by the entries, which have to see what the store holds in order to write again.
const TableTiming kRouterTiming{.feed_wait = std::chrono::milliseconds(8000),
                                .batch_delay = std::chrono::milliseconds(1000),
                                .max_retry_delay = std::chrono::milliseconds(2000),
                                .retention = {.redelivers_survivors = true}};

std::optional<std::chrono::milliseconds> TableWatch::TakeRetryDelay(MonotonicTime now) {
  if (std::exchange(send_again, false) && now - sent_again_at >= kUnpausedCallInterval) {
    sent_again_at = now;
    return std::nullopt;
  }
  const bool may_list_again = now - listed_at >= kListingInterval;
  if (!listed && failures <= 1 && may_list_again) return std::nullopt;
  const auto backoff = kInitialRetryDelay * (1U << std::clamp(failures, 1U, kMaxDoublings)) / 2;
  return std::min(std::chrono::milliseconds(backoff), timing.max_retry_delay);
}

}  // namespace bamboodock
