#pragma once

#include "bamboodock/core/clock.h"
#include "bamboodock/standin/engine_duty.h"
#include "bamboodock/transport/http_server.h"

namespace bamboodock::standin {

/// Routes of the stand-in engine that only read.
class EngineQueries {
 public:
  EngineQueries(const EngineDuty& duty, const Clock& clock) : duty_(duty), clock_(clock) {}

  /// Handles the request when one of the routes matches; false when none does.
  bool Handle(const HttpRequest& request, ResponseWriter& writer) const;

 private:
  void Load(const HttpRequest& request, ResponseWriter& writer) const;
  void State(const HttpRequest& request, ResponseWriter& writer) const;
  void Events(const HttpRequest& request, ResponseWriter& writer) const;
  void Counters(const HttpRequest& request, ResponseWriter& writer) const;

  const EngineDuty& duty_;
  const Clock& clock_;
};

}  // namespace bamboodock::standin
