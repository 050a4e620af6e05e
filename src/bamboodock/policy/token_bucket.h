#pragma once

#include <algorithm>
#include <chrono>

#include "bamboodock/core/units.h"

namespace bamboodock {

/// Rate of a token bucket, and the number of tokens that it holds at most.
struct TokenBucketLimits {
  RequestRate rate;
  double burst = 1;
};

/// Token bucket. The limits are given with each call, since they may change.
class TokenBucket {
 public:
  TokenBucket(double tokens, MonotonicTime now) : tokens_(tokens), refilled_at_(now) {}

  /// Takes a token; false when there is none.
  bool TryTake(const TokenBucketLimits& limits, MonotonicTime now) {
    const double tokens = TokensAt(limits, now);
    if (tokens < 1) return false;
    tokens_ = tokens - 1;
    refilled_at_ = std::max(refilled_at_, now);
    return true;
  }

  /// Time after which a token can be taken, rounded up to a microsecond; at most `max`.
  Duration TimeToToken(const TokenBucketLimits& limits, MonotonicTime now, Duration max) const {
    using Seconds = std::chrono::duration<double>;
    const double missing = 1 - TokensAt(limits, now);
    if (missing <= 0) return Duration::zero();
    const double rate = limits.rate.value();
    if (rate <= 0 || missing / rate >= Seconds(max).count()) return max;
    return std::chrono::ceil<std::chrono::microseconds>(Seconds(missing / rate));
  }

 private:
  double TokensAt(const TokenBucketLimits& limits, MonotonicTime now) const {
    const std::chrono::duration<double> elapsed =
        std::max<Duration>(now - refilled_at_, Duration::zero());
    return std::min(limits.burst, tokens_ + elapsed.count() * limits.rate.value());
  }

  double tokens_;
  MonotonicTime refilled_at_;
};

}  // namespace bamboodock
