#pragma once

#include <functional>

#include "bamboodock/experiment/event_loop.h"
#include "bamboodock/experiment/fake_engine.h"
#include "bamboodock/policy/admission_ramp.h"
#include "bamboodock/policy/endpoint_view.h"

namespace bamboodock::experiment {

/// Load report that a sidecar sends to every entry once per report interval.
struct LoadReport {
  /// Attempts in flight from all entries.
  Concurrency load;
  Concurrency limit;
  bool warm = true;
};

/// Simulated sidecar: admission control of one endpoint in front of its fake engine.
class FakeSidecar {
 public:
  FakeSidecar(EventLoop& loop, const EngineParameters& parameters, Duration first_token_target,
              EndpointId id, AvailabilityZoneId zone);

  /// Starts the job; false when the admission ramp refuses it or the sidecar is out of service.
  bool TryStart(EngineJob job);
  LoadReport Report();

  /// Stops the sidecar and its engine; running jobs fail and further ones are refused.
  void Kill();
  /// Starts the sidecar and its engine again, cold.
  void Restart();
  void TurnCold() { engine_.TurnCold(); }

  const EndpointId& id() const { return id_; }
  const AvailabilityZoneId& zone() const { return zone_; }
  const FakeEngine& engine() const { return engine_; }

 private:
  EventLoop& loop_;
  EngineParameters parameters_;
  Duration first_token_target_;
  EndpointId id_;
  AvailabilityZoneId zone_;
  FakeEngine engine_;
  AdmissionRamp ramp_;
  bool stopped_ = false;
};

}  // namespace bamboodock::experiment
