#pragma once

#include <array>
#include <atomic>
#include <chrono>
#include <cstdint>

#include "bamboodock/core/units.h"

namespace bamboodock {

/// Counters that the network and the store duty write and the metrics query reads.
struct RouterCounters {
  std::atomic<std::uint64_t> requests{0};
  std::atomic<std::uint64_t> answered{0};
  std::atomic<std::uint64_t> refused{0};
  std::atomic<std::uint64_t> broken{0};
  std::atomic<std::uint64_t> callers_left{0};
  std::atomic<std::uint64_t> attempts{0};
  std::atomic<std::uint64_t> repeats{0};
  std::atomic<std::uint64_t> resumes{0};
  std::atomic<std::uint64_t> answers_over_limit{0};
  /// Answers to prompts that were lost with their connection before they were under way.
  std::atomic<std::uint64_t> answers_lost_early{0};
  /// Requests refused because a part of their prompt crashes endpoints.
  std::atomic<std::uint64_t> prompts_refused{0};
  /// Requests refused because endpoints limit their rate or have asked for a pause.
  std::atomic<std::uint64_t> refused_at_limit{0};
  /// Answers that state that their endpoint drains.
  std::atomic<std::uint64_t> answers_draining{0};
  /// Load reports of endpoints that cannot be read.
  std::atomic<std::uint64_t> unreadable_load_reports{0};
  /// Attempts whose request could not be written whole to its endpoint.
  std::atomic<std::uint64_t> request_writes_failed{0};
  /// Answers on routes whose model the router selects, and the sum of their confidences, by
  /// position of the model, smallest first; the last position stands for all larger models too.
  static constexpr std::size_t kModelPositions = 4;
  std::array<std::atomic<std::uint64_t>, kModelPositions> answers_by_model{};
  std::array<std::atomic<std::uint64_t>, kModelPositions> confidence_sum{};
  /// Bytes held for callers and endpoints, and their limit.
  std::atomic<std::uint64_t> held_bytes{0};
  std::atomic<std::uint64_t> held_bytes_limit{0};
  /// Requests refused before they were planned, because there was no memory for them.
  std::atomic<std::uint64_t> refused_for_memory{0};
  /// Those of them whose body had been arriving for a while.
  std::atomic<std::uint64_t> uploads_given_up{0};
  /// Connections closed to admit others.
  std::atomic<std::uint64_t> connections_evicted{0};
  std::atomic<std::uint64_t> open_connections{0};
  std::atomic<std::uint64_t> open_requests{0};
  /// Era that the last answer of the store has stated; 0 while none has.
  std::atomic<std::uint64_t> store_era{0};
  /// Returns of the store from an older copy that were noticed.
  std::atomic<std::uint64_t> store_returns{0};
  /// Rows that were judged outdated after a return.
  std::atomic<std::uint64_t> store_rows_outdated{0};
  /// Rows and removals of all tables of the store that are held back.
  std::atomic<std::uint64_t> store_rows_held{0};

  /// Upper bounds of the latency histogram in milliseconds; the last bucket is unbounded.
  static constexpr std::array<std::uint32_t, 12> kLatencyBoundsMs{
      5, 10, 25, 50, 100, 250, 500, 1000, 2500, 5000, 10000, 20000};
  std::array<std::atomic<std::uint64_t>, kLatencyBoundsMs.size() + 1> latency{};
  std::atomic<std::uint64_t> latency_sum_ms{0};

  void RecordLatency(Duration duration) {
    const auto ms = std::chrono::duration_cast<std::chrono::milliseconds>(duration).count();
    std::size_t bucket = 0;
    while (bucket < kLatencyBoundsMs.size() && ms > kLatencyBoundsMs.at(bucket)) ++bucket;
    latency.at(bucket).fetch_add(1, std::memory_order_relaxed);
    latency_sum_ms.fetch_add(static_cast<std::uint64_t>(ms), std::memory_order_relaxed);
  }
};

}  // namespace bamboodock
