#pragma once

#include <algorithm>
#include <chrono>
#include <cmath>
#include <cstddef>
#include <cstdint>
#include <limits>
#include <span>
#include <vector>

#include "bamboodock/core/slowdown.h"
#include "bamboodock/core/units.h"
#include "bamboodock/policy/random.h"

namespace bamboodock {

/// Work for an engine as a number of running requests that slow it down as much.
using RequestEquivalents = Quantity<struct RequestEquivalentsTag, double>;

/// Prompt tokens, at the price of the most expensive model, that count as one open request.
inline constexpr double kTokensPerPendingRequest = 2000;

/// Work of prompt tokens at the price of the most expensive model.
inline RequestEquivalents ToRequests(Tokens work) {
  return RequestEquivalents(static_cast<double>(work.value()) / kTokensPerPendingRequest);
}

/// What is known of an endpoint when an attempt is placed.
struct PlacementOption {
  Slowdown slowdown{1};
  /// Requests that run there and work that waits there.
  RequestEquivalents ahead;
  /// Work of the attempt itself that the endpoint does not have in its cache.
  RequestEquivalents own;
  Concurrency slots{1};
  /// Added to the time, in requests per slot, for what is unwelcome but not slow.
  double penalty = 0;
};

/// Standard errors of what is known of an endpoint.
struct PlacementErrors {
  /// Relative error of the slowdown.
  double slowdown = 0;
  RequestEquivalents ahead;
};

/// Expected time of an attempt at an endpoint, relative to other endpoints.
///
/// Load pattern: hosts that differ in speed under prompts of very different sizes. A prompt of
/// 12,000 tokens delays every request of a slow engine for seconds, while a short one hardly
/// matters. The own work counts at the speed of the endpoint, so long prompts go to fast endpoints
/// even if these are busier, and short ones go where little is running.
inline double ExpectedTime(const PlacementOption& option) {
  const double work = (option.ahead + option.own).value() + 1;
  return option.slowdown.value() * work / std::max(1U, option.slots.value()) + option.penalty;
}

/// Standard error of `ExpectedTime`.
inline double ExpectedTimeError(const PlacementOption& option, const PlacementErrors& errors) {
  const double work = (option.ahead + option.own).value() + 1;
  const double by_slowdown = work * errors.slowdown;
  const double by_ahead = errors.ahead.value();
  return option.slowdown.value() * std::sqrt(by_slowdown * by_slowdown + by_ahead * by_ahead) /
         std::max(1U, option.slots.value());
}

/// Error of the requests that an endpoint has reported, `age` after the report, of which half have
/// ended after `half_life`. Requests that come and go independently differ from their expected
/// number by about its square root.
inline RequestEquivalents ReportError(double reported, Duration age, Duration half_life) {
  using Seconds = std::chrono::duration<double>;
  const double changed = 1 - std::exp2(-(Seconds(age) / Seconds(half_life)));
  return RequestEquivalents(std::sqrt((reported + 1) * changed));
}

/// Index of the endpoint for an attempt.
///
/// Load pattern: hundreds of entries that all know the same stale reports, and would all send to
/// the endpoint that is best by them. Endpoints whose times do not exceed the least upper bound of
/// any time are equal as far as the reports tell, and one of them is chosen at random. An endpoint
/// with a large error of its own does not widen that range for the others.
///
/// @param times Expected times by index; must not be empty.
/// @param error_of Returns the standard error of the time with an index.
template <class ErrorOf>
std::size_t ChoosePlacement(std::span<const double> times, const ErrorOf& error_of,
                            Random& random) {
  double limit = std::numeric_limits<double>::infinity();
  for (std::size_t i = 0; i < times.size(); ++i) {
    if (times[i] < limit) limit = std::min(limit, times[i] + error_of(i));
  }
  const auto within = [limit](double time) { return time <= limit; };
  auto left = random.Below(static_cast<std::uint64_t>(std::ranges::count_if(times, within)));
  std::size_t index = 0;
  while (!within(times[index]) || left-- > 0) ++index;
  return index;
}

/// Prompt and output tokens for which an endpoint has memory, by its slots.
///
/// Load pattern: long prompts that gather at the fast endpoints and exceed their memory, at which
/// engines crash. Endpoints do not state their memory, so a share for each slot is assumed. The
/// estimate for the requests of other entries is rough, so the share is below what engines of this
/// kind have.
inline Tokens MemoryOf(Concurrency slots) {
  constexpr std::uint64_t kTokensPerSlot = 6000;
  return Tokens(kTokensPerSlot * std::max(1U, slots.value()));
}

/// Tokens for which a request needs memory. Callers state them, so a single request counts as no
/// more than twice the largest prompts in use with their answers.
inline Tokens MemoryNeed(Tokens prompt, Tokens output) {
  constexpr Tokens kMaxTokens{32768};
  return std::min(std::min(prompt, kMaxTokens) + std::min(output, kMaxTokens), kMaxTokens);
}

/// Order in which endpoints are expected to have a prompt part in their cache; lowest first.
///
/// Weighted rendezvous hashing (Schindelhauer and Schomaker, 2005): all entries with the same
/// slowdowns derive the same order, in which fast endpoints are first more often.
///
/// @param weight Uniform hash of endpoint and prompt part.
inline double CacheOrder(std::uint64_t weight, Slowdown mean) {
  constexpr double kRange = 18446744073709551616.0;
  const double uniform = (static_cast<double>(weight) + 1) / kRange;
  return -std::log(std::min(uniform, 1.0)) * mean.value() * mean.value();
}

/// Number of endpoints at which a prompt part counts as cached. A second one takes over while the
/// first one is busy.
inline constexpr std::size_t kCachedCopies = 2;

}  // namespace bamboodock
