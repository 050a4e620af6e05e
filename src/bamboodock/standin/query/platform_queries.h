#pragma once

#include "bamboodock/standin/fault_board.h"
#include "bamboodock/standin/platform_state.h"
#include "bamboodock/standin/weight_gate.h"
#include "bamboodock/transport/http_server.h"

namespace bamboodock::standin {

/// Routes of the stand-in platform that only read.
class PlatformQueries {
 public:
  PlatformQueries(const PlatformState& state, WeightGate& weights, FaultBoard& faults)
      : state_(state), weights_(weights), faults_(faults) {}

  /// False when no route fits.
  bool Handle(const HttpRequest& request, ResponseWriter& writer) const;

 private:
  void Row(const HttpRequest& request, ResponseWriter& writer) const;
  void Scan(const HttpRequest& request, ResponseWriter& writer) const;
  void Object(const HttpRequest& request, ResponseWriter& writer) const;
  void Hosts(const HttpRequest& request, ResponseWriter& writer) const;
  void Ratings(const HttpRequest& request, ResponseWriter& writer) const;
  void Weights(const HttpRequest& request, ResponseWriter& writer) const;
  void Counters(const HttpRequest& request, ResponseWriter& writer) const;
  bool Pass(const std::string& target, ResponseWriter& writer) const;

  const PlatformState& state_;
  WeightGate& weights_;
  FaultBoard& faults_;
};

}  // namespace bamboodock::standin
