#pragma once

#include <cstdint>
#include <unordered_map>

#include "bamboodock/core/ids.h"
#include "bamboodock/core/units.h"
#include "bamboodock/objects/client_account.h"

namespace bamboodock {

enum class AccountVerdict : std::uint8_t { kAdmitted, kRateLimit, kConcurrencyLimit };

/// Request rate (token bucket) and concurrency limit of each client account.
class AccountLimiter {
 public:
  /// Wait suggested when the concurrency limit is reached, since the end of a request is not
  /// predictable.
  static constexpr Duration kConcurrencyWait = std::chrono::milliseconds(500);
  /// Longest wait suggested, also for an account whose rate is zero.
  static constexpr Duration kLongestWait = std::chrono::seconds(60);

  /// Takes a token and a place; takes neither when refused.
  AccountVerdict Admit(const ClientAccount& account, MonotonicTime now);
  /// Gives the place of an admitted request back.
  void Release(const ClientAccountId& account);
  /// Wait after which a retry makes sense; zero when a request would be admitted now.
  Duration RetryAfter(const ClientAccount& account, MonotonicTime now) const;

 private:
  struct State {
    double tokens = 0;
    MonotonicTime refilled;
    Concurrency in_flight{0};
  };

  static double TokensAt(const State& state, const ClientAccount& account, MonotonicTime now);

  std::unordered_map<ClientAccountId, State> states_;
};

}  // namespace bamboodock
