#pragma once

#include <algorithm>
#include <chrono>
#include <cstddef>
#include <cstdint>
#include <optional>

#include "bamboodock/core/units.h"
#include "bamboodock/policy/random.h"

namespace bamboodock {

/// What happens to a new request.
enum class AdmissionVerdict : std::uint8_t { kAdmit, kWait, kRefuse };

/// Why a request is refused.
enum class AdmissionRefusal : std::uint8_t {
  kNone,
  /// The request cannot be in time any more.
  kHopeless,
  /// All places of the queue are taken.
  kQueueFull,
};

/// State of a service as a new request meets it.
struct ServiceCondition {
  /// Whether a usable endpoint has a free slot and nobody waits for it.
  bool has_free_slot = false;
  /// Requests that would be served before the new one.
  std::size_t ahead = 0;
  /// Callers who were told to come back and whose time has not come yet.
  std::size_t returning = 0;
  /// Slots that become free; empty when not known.
  std::optional<RequestRate> drain;
};

/// Times of a request.
struct RequestTimes {
  /// Time until the request is given up.
  Duration left{};
  /// Expected time from sending the request to the end of its answer; zero when not known.
  Duration run{};
};

/// Verdict about a request.
struct AdmissionDecision {
  AdmissionVerdict verdict = AdmissionVerdict::kAdmit;
  AdmissionRefusal reason = AdmissionRefusal::kNone;
  /// Expected time until a slot is free for the request; empty when not known.
  std::optional<Duration> expected_wait;
};

/// Decides whether a request is sent, waits or is refused, and when a refused caller may return.
///
/// Load pattern: more requests than the endpoints have slots for, and callers that retry at once.
class Admission {
 public:
  /// A request is hopeless when its expected time is this multiple of the time that is left. Above
  /// 1, since the drain rate of a few attempts a second is off by about a third.
  static constexpr double kHopelessFactor = 1.5;
  static constexpr std::chrono::milliseconds kMinRetryAfter{100};
  /// Largest part of the time left after which a caller returns, so that it can try again.
  static constexpr int kRetryDivisor = 3;
  /// Share by which Retry-After is longer or shorter, so that callers do not return together.
  static constexpr double kSpread = 0.25;

  static AdmissionDecision Decide(const ServiceCondition& service, const RequestTimes& request) {
    if (service.has_free_slot) return {};
    AdmissionDecision decision{AdmissionVerdict::kWait, AdmissionRefusal::kNone,
                               TimeToServe(service.ahead + 1, service)};
    const Seconds expected = Seconds(request.run) + decision.expected_wait.value_or(Duration{});
    if (request.left <= request.run || expected > kHopelessFactor * Seconds(request.left)) {
      decision.verdict = AdmissionVerdict::kRefuse;
      decision.reason = AdmissionRefusal::kHopeless;
    }
    return decision;
  }

  /// Time after which a refused caller is served when it returns.
  static Duration RetryAfter(const ServiceCondition& service, Duration left, Random& random) {
    const Duration most = std::max<Duration>(left / kRetryDivisor, kMinRetryAfter);
    const Duration mean = TimeToServe(service.ahead + service.returning, service).value_or(most);
    const double factor = 1 + kSpread * (2 * random.Uniform() - 1);
    const Seconds spread = factor * Seconds(std::min(mean, most));
    return std::clamp<Duration>(std::chrono::duration_cast<Duration>(spread), kMinRetryAfter, most);
  }

 private:
  using Seconds = std::chrono::duration<double>;
  /// Longer times are not told apart.
  static constexpr std::chrono::hours kLongest{1};

  static std::optional<Duration> TimeToServe(std::size_t requests,
                                             const ServiceCondition& service) {
    if (!service.drain || service.drain->value() <= 0) return std::nullopt;
    const Seconds time(static_cast<double>(requests) / service.drain->value());
    return std::chrono::duration_cast<Duration>(std::min<Seconds>(time, kLongest));
  }
};

}  // namespace bamboodock
