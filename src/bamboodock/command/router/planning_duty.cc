#include "bamboodock/command/router/planning_duty.h"

#include <utility>
#include <variant>

#include "bamboodock/observe/log.h"

namespace bamboodock {
namespace {

constexpr std::chrono::milliseconds kTickInterval{250};

}  // namespace

PlanningDuty::PlanningDuty(RouteState state, PlanningOutlets outlets, EventLog& log)
    : state_(std::move(state)), outlets_(std::move(outlets)), log_(log) {
  PublishStatus();
}

void PlanningDuty::Handle(RouteCommand& command) {
  std::visit([this](auto& change) { On(change); }, command);
}

void PlanningDuty::On(PlanQuery& query) {
  if (outlets_.planned({query.receiver, state_.Plan(query)})) return;
  log_.Write(Event::kRequestRefusedByRouter, RequestId(query.request->metadata.attempt.value()),
             "code=ring_full: the network duty takes no more plans");
}

MonotonicTime PlanningDuty::Tick() {
  for (const RolloutProgress& progress : state_.Tick()) {
    if (!outlets_.write_progress(progress)) {
      log_.Write(Event::kStoreWriteFailed, RequestId(), "code=ring_full, tried again at next tick");
    }
  }
  // A report that finds no room is made up for by the next one.
  static_cast<void>(outlets_.send_report(state_.OwnReport()));
  // Without this the store duty asks the store more often, which does no harm.
  static_cast<void>(outlets_.peers_cover(state_.peers_cover()));
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
  status_.Store(std::move(status));
  const bool ready = state_.Ready();
  if (ready == ready_) return;
  ready_ = ready;
  log_.Write(Event::kReadinessChanged, RequestId(),
             std::string("ready=") + (ready ? "true" : "false") + " " + state_.Knowledge());
}

}  // namespace bamboodock
