#pragma once

#include "bamboodock/standin/fault_injector.h"
#include "bamboodock/standin/platform_state.h"
#include "bamboodock/standin/weight_rate_limiter.h"
#include "bamboodock/transport/http_server.h"

namespace bamboodock::standin {

/// Routes of the stand-in platform that only read.
class PlatformQueries {
 public:
  PlatformQueries(const PlatformState& state, WeightRateLimiter& weight_limiter,
                  FaultInjector& faults)
      : state_(state), weight_limiter_(weight_limiter), faults_(faults) {}

  /// Handles the request when one of the routes matches; false when none does.
  bool Handle(const HttpRequest& request, ResponseWriter& writer) const;

 private:
  void Row(const HttpRequest& request, ResponseWriter& writer) const;
  void Scan(const HttpRequest& request, ResponseWriter& writer) const;
  void Object(const HttpRequest& request, ResponseWriter& writer) const;
  void Hosts(const HttpRequest& request, ResponseWriter& writer) const;
  void Ratings(const HttpRequest& request, ResponseWriter& writer) const;
  void Weights(const HttpRequest& request, ResponseWriter& writer) const;
  void Counters(const HttpRequest& request, ResponseWriter& writer) const;
  /// Carries out the fault set for `target`; false when the request must not be processed.
  bool InjectReadFault(const std::string& target, ResponseWriter& writer) const;

  const PlatformState& state_;
  WeightRateLimiter& weight_limiter_;
  FaultInjector& faults_;
};

}  // namespace bamboodock::standin
