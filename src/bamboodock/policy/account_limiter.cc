#include "bamboodock/policy/account_limiter.h"

#include <algorithm>
#include <chrono>

namespace bamboodock {
namespace {

using Seconds = std::chrono::duration<double>;

double Capacity(const ClientAccount& account) { return std::max(1U, account.burst.value()); }

}  // namespace

AccountVerdict AccountLimiter::Admit(const ClientAccount& account, MonotonicTime now) {
  State& state = states_.try_emplace(account.id, State{Capacity(account), now, {}}).first->second;
  if (state.in_flight >= account.concurrency) return AccountVerdict::kConcurrencyLimit;
  const double tokens = TokensAt(state, account, now);
  if (tokens < 1) return AccountVerdict::kRateLimit;
  state.tokens = tokens - 1;
  state.refilled = std::max(state.refilled, now);
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
  const double missing = 1 - TokensAt(state, account, now);
  if (missing <= 0) return for_slot;
  const double rate = account.rate.value();
  if (rate <= 0 || missing / rate >= Seconds(kMaxRetryAfter).count()) return kMaxRetryAfter;
  // Rounded up, so that a whole token is available to a caller who waits exactly this long.
  const auto for_token = std::chrono::ceil<std::chrono::microseconds>(Seconds(missing / rate));
  return std::max<Duration>(for_slot, for_token);
}

double AccountLimiter::TokensAt(const State& state, const ClientAccount& account,
                                MonotonicTime now) {
  const double elapsed = std::max(0.0, Seconds(now - state.refilled).count());
  return std::min(Capacity(account), state.tokens + elapsed * account.rate.value());
}

}  // namespace bamboodock
