#pragma once

#include "bamboodock/standin/fault_injector.h"
#include "bamboodock/standin/platform_state.h"
#include "bamboodock/standin/state_duty.h"
#include "bamboodock/transport/http_server.h"

namespace bamboodock::standin {

/// Routes of the stand-in platform that change its state.
class PlatformCommands {
 public:
  PlatformCommands(PlatformState& state, StateDuty& duty, FaultInjector& faults)
      : state_(state), duty_(duty), faults_(faults) {}

  /// Handles the request when one of the routes matches; false when none does.
  bool Handle(const HttpRequest& request, ResponseWriter& writer);

 private:
  void Commit(const HttpRequest& request, ResponseWriter& writer);
  void PutObject(const HttpRequest& request, ResponseWriter& writer);
  void AnnounceHost(const HttpRequest& request, ResponseWriter& writer);
  void AddRatings(const HttpRequest& request, ResponseWriter& writer);
  void SetFault(const HttpRequest& request, ResponseWriter& writer);
  /// Runs `change` on the state duty, subject to the fault set for `target`, and sends the status
  /// and body that it returns.
  template <class Change>
  void Apply(const std::string& target, ResponseWriter& writer, Change change);

  PlatformState& state_;
  StateDuty& duty_;
  FaultInjector& faults_;
};

}  // namespace bamboodock::standin
