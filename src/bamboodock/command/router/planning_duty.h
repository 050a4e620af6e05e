#pragma once

#include <functional>

#include "bamboodock/command/router/route_commands.h"
#include "bamboodock/command/router/route_state.h"
#include "bamboodock/core/duty.h"
#include "bamboodock/core/snapshot_cell.h"
#include "bamboodock/query/router/router_status.h"

namespace bamboodock {

/// Callbacks that pass results of the planning duty to other duties; each returns false when the
/// ring is full.
struct PlanningOutputs {
  std::function<bool(PlannedAttempt)> planned;
  std::function<bool(const RolloutProgress&)> write_progress;
  std::function<bool(PeerReport)> send_report;
  std::function<bool(PromptEvidenceReport)> send_prompt_evidence;
  std::function<bool(RateLimitReport)> send_rate_limits;
  /// Tells the store duty what the other entries have read from the store.
  std::function<bool(MonotonicTime covered_until, StoreEra era)> peer_knowledge;
};

/// Duty that owns `RouteState`: answers plan queries and applies all changes to it.
class PlanningDuty : public Duty<PlanningDuty, RouteCommand> {
 public:
  PlanningDuty(RouteState state, PlanningOutputs outputs, EventLog& log);
  ~PlanningDuty() { Stop(); }

  Ref<const RouterStatus> status() const { return status_.Load(); }

  void Handle(RouteCommand& command);
  MonotonicTime Tick();

 private:
  void On(PlanQuery& query);
  template <class Change>
  void On(Change& change) {
    state_.Apply(change);
    PublishStatus();
  }
  void On(HeadReport& report) { state_.Apply(report); }
  void On(UnderWayReport& report) { state_.Apply(report); }
  void On(AttemptReport& report) { state_.Apply(report); }
  void On(PromptReport& report) { state_.Apply(report); }
  void On(ConfidenceReport& report) { state_.Apply(report); }
  void On(SessionRequestEnd& end) { state_.Apply(end); }
  void On(PromptEvidenceReport& report) { state_.Apply(report); }
  void On(RateLimitReport& report) { state_.Apply(report); }
  void PublishStatus();
  void ReportDroppedLines();

  RouteState state_;
  PlanningOutputs outputs_;
  EventLog& log_;
  SnapshotCell<RouterStatus> status_;
  bool ready_ = false;
  /// Number of dropped log lines already reported.
  std::uint64_t reported_drops_ = 0;
};

}  // namespace bamboodock
