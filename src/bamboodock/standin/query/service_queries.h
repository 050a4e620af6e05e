#pragma once

#include "bamboodock/standin/answer.h"
#include "bamboodock/standin/fault_injector.h"
#include "bamboodock/standin/service_concurrency_limiter.h"
#include "bamboodock/standin/service_state.h"
#include "bamboodock/transport/http_server.h"

namespace bamboodock::standin {

/// Routes of the stand-in service that only read.
class ServiceQueries {
 public:
  ServiceQueries(const ServiceState& state, ServiceConcurrencyLimiter& limiter,
                 FaultInjector& faults)
      : state_(state), limiter_(limiter), faults_(faults) {}

  /// Sets how long a look-up takes.
  ServiceQueries& CallTime(Duration time);
  /// Sets the seed of the texts that look-ups return.
  ServiceQueries& TextSeed(Seed seed);

  /// Handles the request when one of the routes matches; false when none does.
  bool Handle(const HttpRequest& request, ResponseWriter& writer) const;

 private:
  void LookUp(const HttpRequest& request, ResponseWriter& writer) const;
  void Load(const HttpRequest& request, ResponseWriter& writer) const;
  void Counters(const HttpRequest& request, ResponseWriter& writer) const;

  const ServiceState& state_;
  ServiceConcurrencyLimiter& limiter_;
  FaultInjector& faults_;
  Duration call_time_{0};
  Seed seed_;
};

}  // namespace bamboodock::standin
