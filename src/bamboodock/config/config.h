#pragma once

#include <chrono>
#include <cstddef>

namespace bamboodock::config {

/// Maximum age of the evidence that no newer configuration has been accepted.
inline constexpr std::chrono::milliseconds kFreshnessLimit{5000};

/// Interval at which an entry reads the head row and a sidecar calls `sync`.
inline constexpr std::chrono::milliseconds kSyncInterval{1000};

/// A hop with an open request that receives no message for this long is treated as lost.
inline constexpr std::chrono::milliseconds kHopSilenceTimeout{2000};

/// A sidecar writes a billing record itself when its entry has not settled it within this time.
inline constexpr std::chrono::milliseconds kSettleTimeout{10000};

/// Time for which an attempt id is kept after its deadline, so that late duplicates are rejected.
inline constexpr std::chrono::milliseconds kAttemptMargin{30000};

/// Maximum time for which a process finishes open work after SIGTERM. Also the maximum wait for
/// room in a ring for a message that must not be lost.
inline constexpr std::chrono::milliseconds kGracePeriod{30000};

/// Deadline of a request whose caller states none, and of a read of an earlier request's answer.
inline constexpr std::chrono::milliseconds kDefaultDeadline{60000};

/// A connection with an open answer carries a message at least once per interval.
inline constexpr std::chrono::milliseconds kHeartbeatInterval{500};

/// An engine that sends nothing for this long is treated as failed; a cold engine needs seconds to
/// answer.
inline constexpr std::chrono::milliseconds kEngineSilenceTimeout{10000};

/// Timeout of one request to the platform's store or to a peer.
inline constexpr std::chrono::milliseconds kControlTimeout{800};

/// Maximum size of an answer that a sidecar keeps for resumption, in bytes.
inline constexpr std::size_t kMaxAnswerBytes = 16U << 20U;

/// A first token that takes longer than this counts as slow and is no evidence that the endpoint is
/// warm.
inline constexpr std::chrono::milliseconds kFirstTokenTarget{1200};

/// Capacity of a sidecar's attempt registry, in attempts.
inline constexpr std::size_t kRegistryCapacity = 65536;

/// Capacity of the ring between the reader and the writer of one stream, in messages.
inline constexpr std::size_t kStreamRingCapacity = 256;

/// Capacity of a duty's command ring, in commands.
inline constexpr std::size_t kCommandRingCapacity = 4096;

/// Billing records that a process holds before it refuses new work.
inline constexpr std::size_t kLedgerCapacity = 100000;

/// Events kept in memory for the timeline.
inline constexpr std::size_t kTimelineCapacity = 16384;

/// Maximum size of a request body in bytes.
inline constexpr std::size_t kMaxBodyBytes = 4U << 20U;

}  // namespace bamboodock::config
