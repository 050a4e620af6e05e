#include "bamboodock/policy/account_limiter.h"

#include <algorithm>
#include <chrono>

namespace bamboodock {
namespace {

TokenBucketLimits LimitsOf(const ClientAccount& account) {
  return {account.rate, static_cast<double>(std::max(1U, account.burst.value()))};
}

}  // namespace

AccountVerdict AccountLimiter::Admit(const ClientAccount& account, MonotonicTime now) {
  const TokenBucketLimits limits = LimitsOf(account);
  State& state = states_.try_emplace(account.id, State{{limits.burst, now}}).first->second;
  if (state.in_flight >= account.concurrency) return AccountVerdict::kConcurrencyLimit;
  if (!state.bucket.TryTake(limits, now)) return AccountVerdict::kRateLimit;
  state.in_flight += Concurrency(1);
  return AccountVerdict::kAdmitted;
}

void AccountLimiter::Release(const ClientAccountId& account) {
  const auto found = states_.find(account);
  if (found == states_.end() || found->second.in_flight == Concurrency(0)) return;
  found->second.in_flight -= Concurrency(1);
}

Duration AccountLimiter::RetryAfter(const ClientAccount& account, MonotonicTime now) const {
  const auto found = states_.find(account.id);
  if (found == states_.end()) return Duration::zero();
  const State& state = found->second;
  const Duration for_slot =
      state.in_flight >= account.concurrency ? kConcurrencyRetryAfter : Duration::zero();
  const Duration for_token = state.bucket.TimeToToken(LimitsOf(account), now, kMaxRetryAfter);
  return std::max(for_slot, for_token);
}

}  // namespace bamboodock
