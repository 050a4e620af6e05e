#include "bamboodock/command/router/planning_duty.h"

#include <utility>
#include <variant>

#include "bamboodock/observe/log.h"

namespace bamboodock {
namespace {

constexpr std::chrono::milliseconds kTickInterval{250};

}  // namespace

PlanningDuty::PlanningDuty(RouteState state, PlanningOutputs outputs, EventLog& log)
    : state_(std::move(state)), outputs_(std::move(outputs)), log_(log) {
  PublishStatus();
}

void PlanningDuty::Handle(RouteCommand& command) {
  std::visit([this](auto& change) { On(change); }, command);
}

void PlanningDuty::On(PlanQuery& query) {
  if (outputs_.planned({query.receiver, state_.Plan(query)})) return;
  log_.Write(Event::kRequestRefusedByRouter, RequestId(query.request->metadata.attempt.value()),
             "code=ring_full: plan dropped, the ring of the network duty is full");
}

MonotonicTime PlanningDuty::Tick() {
  for (const RolloutProgress& progress : state_.Tick()) {
    if (!outputs_.write_progress(progress)) {
      log_.Write(
          Event::kStoreWriteFailed, RequestId(),
          "code=ring_full: rollout progress not sent to the store duty, retrying at the next tick");
    }
  }
  // A report that does not fit in the ring is dropped: reports are cumulative, so the next one
  // replaces it.
  static_cast<void>(outputs_.send_report(state_.MakeReport()));
  if (auto evidence = state_.TakePromptEvidence()) {
    static_cast<void>(outputs_.send_prompt_evidence(std::move(*evidence)));
  }
  if (auto limits = state_.TakeRateLimits()) {
    static_cast<void>(outputs_.send_rate_limits(std::move(*limits)));
  }
  // If this is dropped, the store duty only polls the store more often until the next tick.
  static_cast<void>(outputs_.peer_knowledge(state_.peers_covered_until(), state_.peer_era()));
  PublishStatus();
  ReportDroppedLines();
  return std::chrono::steady_clock::now() + kTickInterval;
}

void PlanningDuty::ReportDroppedLines() {
  const std::uint64_t dropped = DroppedLogLines();
  if (dropped == reported_drops_) return;
  log_.Write(Event::kLinesDropped, RequestId(),
             "lines=" + std::to_string(dropped - reported_drops_));
  reported_drops_ = dropped;
}

void PlanningDuty::PublishStatus() {
  auto status = MakeRef<RouterStatus>();
  status->table = state_.table();
  status->ready_until = state_.ReadyUntil();
  status->endpoints = state_.endpoint_count();
  status->entries = state_.entries();
  status->quarantined_prompt_parts = state_.quarantined_prompt_parts();
  status->rate_limited_endpoints = state_.rate_limited_endpoints();
  status->slowdown = state_.slowdown_quantiles();
  status_.Store(std::move(status));
  const bool ready = state_.Ready();
  if (ready == ready_) return;
  ready_ = ready;
  log_.Write(Event::kReadinessChanged, RequestId(),
             std::string("ready=") + (ready ? "true" : "false") + " " + state_.ConfigSummary());
}

}  // namespace bamboodock
