#pragma once

#include "bamboodock/standin/answer.h"
#include "bamboodock/standin/fault_board.h"
#include "bamboodock/standin/service_gate.h"
#include "bamboodock/standin/service_state.h"
#include "bamboodock/transport/http_server.h"

namespace bamboodock::standin {

/// Routes of the stand-in service that only read.
class ServiceQueries {
 public:
  ServiceQueries(const ServiceState& state, ServiceGate& gate, FaultBoard& faults)
      : state_(state), gate_(gate), faults_(faults) {}

  /// Sets the time a look-up takes and the seed of its text.
  ServiceQueries& CallTime(Duration time);
  ServiceQueries& TextSeed(Seed seed);

  /// False when no route fits.
  bool Handle(const HttpRequest& request, ResponseWriter& writer) const;

 private:
  void LookUp(const HttpRequest& request, ResponseWriter& writer) const;
  void Load(const HttpRequest& request, ResponseWriter& writer) const;
  void Counters(const HttpRequest& request, ResponseWriter& writer) const;

  const ServiceState& state_;
  ServiceGate& gate_;
  FaultBoard& faults_;
  Duration call_time_{0};
  Seed seed_;
};

}  // namespace bamboodock::standin
