#pragma once

#include <cstdint>
#include <unordered_map>

#include "bamboodock/core/ids.h"
#include "bamboodock/core/units.h"
#include "bamboodock/objects/client_account.h"
#include "bamboodock/policy/token_bucket.h"

namespace bamboodock {

enum class AccountVerdict : std::uint8_t { kAdmitted, kRateLimit, kConcurrencyLimit };

/// Request rate (token bucket) and concurrency limit of each client account.
class AccountLimiter {
 public:
  /// Retry-after time at the concurrency limit; fixed, because the end of a request cannot be
  /// predicted.
  static constexpr Duration kConcurrencyRetryAfter = std::chrono::milliseconds(500);
  /// Upper bound of every retry-after time; also used for an account whose rate is zero.
  static constexpr Duration kMaxRetryAfter = std::chrono::seconds(60);

  /// Takes a token and a concurrency slot; takes neither when it refuses the request.
  AccountVerdict Admit(const ClientAccount& account, MonotonicTime now);
  /// Returns the concurrency slot of an admitted request.
  void Release(const ClientAccountId& account);
  /// Time after which a retry can be admitted, at most `kMaxRetryAfter`; zero when a request would
  /// be admitted now.
  Duration RetryAfter(const ClientAccount& account, MonotonicTime now) const;

 private:
  struct State {
    TokenBucket bucket;
    Concurrency in_flight{0};
  };

  std::unordered_map<ClientAccountId, State> states_;
};

}  // namespace bamboodock
