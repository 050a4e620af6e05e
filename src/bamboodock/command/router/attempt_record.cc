#include "bamboodock/command/router/attempt_record.h"

namespace bamboodock {

AttemptReport AttemptRecord::MakeReport(const AttemptPlan& plan, const RequestMetadata& request,
                                        AttemptOutcome outcome) const {
  AttemptReport report;
  report.endpoint = plan.endpoint;
  report.started = plan.started;
  report.service = plan.progress.service->id;
  report.route = plan.progress.route->id;
  report.version = plan.version;
  report.outcome = outcome;
  report.head_latency = head_latency;
  report.event_interval = event_interval.Interval();
  report.early_event_interval = early_event_interval;
  report.max_output_tokens = request.max_output_tokens;
  report.expected_output_tokens = request.expected_output_tokens;
  report.sent = sent;
  report.repeat = plan.repeat;
  report.work = plan.work;
  report.prompt_tokens = request.prompt_tokens;
  report.model = plan.model.empty() ? request.model : plan.model;
  return report;
}

std::optional<PromptFate> AttemptRecord::Fate(AttemptOutcome outcome) const {
  if (IsUnderWay()) return std::nullopt;
  if (IsLostEarly()) return PromptFate::kLost;
  if (outcome == AttemptOutcome::kSuccess && framed_end) return PromptFate::kUnderWay;
  if (outcome == AttemptOutcome::kCancelled && head_latency) return PromptFate::kAbandoned;
  return std::nullopt;
}

}  // namespace bamboodock
