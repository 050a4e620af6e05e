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

  /// False when no route fits.
  bool Handle(const HttpRequest& request, ResponseWriter& writer);

 private:
  void Commit(const HttpRequest& request, ResponseWriter& writer);
  void PutObject(const HttpRequest& request, ResponseWriter& writer);
  void AnnounceHost(const HttpRequest& request, ResponseWriter& writer);
  void AddRatings(const HttpRequest& request, ResponseWriter& writer);
  void SetFault(const HttpRequest& request, ResponseWriter& writer);
  /// Applies a change under the fault of `target`; `change` returns the status and the body.
  template <class Change>
  void Apply(const std::string& target, ResponseWriter& writer, Change change);

  PlatformState& state_;
  StateDuty& duty_;
  FaultInjector& faults_;
};

}  // namespace bamboodock::standin
