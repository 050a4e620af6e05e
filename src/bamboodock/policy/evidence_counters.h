#pragma once

#include <algorithm>
#include <cstdint>

namespace bamboodock {

/// Cumulative counts of the answers of one version, as seen by one source.
struct EvidenceCounters {
  std::uint64_t answers = 0;
  std::uint64_t errors = 0;
  std::uint64_t slow = 0;
  std::uint64_t ratings = 0;
  std::uint64_t bad_ratings = 0;
  /// Streams whose event interval was measured, and those of them whose interval was too long.
  std::uint64_t streams = 0;
  std::uint64_t slow_streams = 0;
  /// Answers of which nothing more came within the timeout; included in `slow`.
  std::uint64_t silent = 0;
  /// Streams whose pace when they came under way was measured, and those of them slower than three
  /// quarters of the streams of the baseline.
  std::uint64_t paced = 0;
  std::uint64_t above_quartile = 0;

  friend bool operator==(const EvidenceCounters&, const EvidenceCounters&) = default;

  /// Adds the counts of another source.
  EvidenceCounters& operator+=(const EvidenceCounters& other) {
    answers += other.answers;
    errors += other.errors;
    slow += other.slow;
    streams += other.streams;
    slow_streams += other.slow_streams;
    silent += other.silent;
    paced += other.paced;
    above_quartile += other.above_quartile;
    ratings += other.ratings;
    bad_ratings += other.bad_ratings;
    return *this;
  }

  /// The newer of two reports of one source. Counts never decrease, so the order of the reports
  /// does not matter.
  static EvidenceCounters Newer(const EvidenceCounters& a, const EvidenceCounters& b) {
    return {std::max(a.answers, b.answers),
            std::max(a.errors, b.errors),
            std::max(a.slow, b.slow),
            std::max(a.ratings, b.ratings),
            std::max(a.bad_ratings, b.bad_ratings),
            std::max(a.streams, b.streams),
            std::max(a.slow_streams, b.slow_streams),
            std::max(a.silent, b.silent),
            std::max(a.paced, b.paced),
            std::max(a.above_quartile, b.above_quartile)};
  }
};

}  // namespace bamboodock
