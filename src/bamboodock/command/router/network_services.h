#pragma once

#include <functional>

#include "bamboodock/command/router/answer_limits.h"
#include "bamboodock/command/router/route_commands.h"
#include "bamboodock/command/router/router_counters.h"
#include "bamboodock/core/clock.h"
#include "bamboodock/observe/event_log.h"
#include "bamboodock/policy/host_capacity.h"
#include "bamboodock/policy/model_choice.h"
#include "bamboodock/query/router/router_status.h"
#include "bamboodock/routing/wire_protocol.h"

namespace bamboodock {

/// Dependencies shared by the classes of the network duty.
struct NetworkServices {
  const WireProtocol& protocol;
  const Clock& clock;
  EventLog& log;
  RouterCounters& counters;
  ModelChoice models;
  AnswerLimits answer_limits;
  /// Posts a command to the planning duty; false when its ring is full.
  std::function<bool(RouteCommand)> post;
  /// Returns the latest status; never null.
  std::function<Ref<const RouterStatus>()> status;
  HostCapacity capacity = {};
};

}  // namespace bamboodock
