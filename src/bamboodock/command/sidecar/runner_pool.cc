#include "bamboodock/command/sidecar/runner_pool.h"

#include <utility>

namespace bamboodock {
namespace {

/// Capacity for attempts waiting for a thread; admission limits their number to the endpoint's
/// concurrency limit.
constexpr std::size_t kRingCapacity = 1024;

MonotonicTime GraceDeadline() { return std::chrono::steady_clock::now() + config::kGracePeriod; }

}  // namespace

RunnerPool::RunnerPool(Parts parts, Concurrency threads)
    : parts_(std::move(parts)), threads_(threads), ring_(kRingCapacity) {}

void RunnerPool::SetReceivers(AdmissionDuty& admission, ClaimDuty& claims) {
  admission_ = &admission;
  claims_ = &claims;
}

void RunnerPool::Start() {
  for (std::uint32_t i = 0; i < threads_.value(); ++i) workers_.emplace_back([this] { Run(); });
}

void RunnerPool::Stop() {
  ring_.Close();
  for (std::thread& worker : workers_) {
    if (worker.joinable()) worker.join();
  }
}

void RunnerPool::Run() {
  while (std::optional<AdmittedAttempt> admitted = ring_.Pop()) Execute(*admitted);
}

void RunnerPool::Execute(AdmittedAttempt& admitted) {
  parts_.timeline.Record(Event::kAttemptStarted, admitted.start.request,
                         admitted.start.attempt.value());
  const EndpointClient& endpoint_client = admitted.start.kind == AttemptKind::kChat
                                              ? static_cast<const EndpointClient&>(chat_)
                                              : plain_;
  const EndpointAnswer answer = endpoint_client.Call(HttpClient(parts_.endpoint), admitted);
  Finish(admitted, answer);
}

void RunnerPool::Finish(const AdmittedAttempt& admitted, const EndpointAnswer& answer) {
  const AttemptStartMessage& start = admitted.start;
  if (!answer.ok && !answer.may_have_been_sent) {
    Failure failure = answer.failure;
    failure.run = RunState::kNotRun;
    parts_.timeline.Record(Event::kAttemptFailed, start.request, failure.detail);
    admission_->PostUntil(LoadReportCommand{}, GraceDeadline());
    admission_->PostUntil(WithdrawCommand{start.attempt, std::move(failure)}, GraceDeadline());
    return;
  }
  const CostMicros cost = RecordBilling(admitted, answer);
  if (answer.ok) {
    EndMessage end{answer.chunks, answer.prompt,     answer.completion,
                   cost,          answer.confidence, parts_.timeline.clock().Tick()};
    parts_.timeline.Record(Event::kAttemptFinished, start.request, start.attempt.value());
    FinishAnswer(admitted, answer, EncodeMessage(SidecarMessage(end)));
  } else {
    admitted.log->Finish(EncodeMessage(SidecarMessage(RefusedMessage{answer.failure, Epoch()})));
    parts_.timeline.Record(Event::kAttemptFailed, start.request, answer.failure.detail);
  }
  EndpointCallOutcome outcome{start.attempt, start.model,      start.version,
                              answer.ok,     answer.cancelled, answer.first_token};
  admission_->PostUntil(std::move(outcome), GraceDeadline());
}

void RunnerPool::FinishAnswer(const AdmittedAttempt& admitted, const EndpointAnswer& answer,
                              std::string end_message) {
  if (admitted.needs_claim) {
    FinishClaimCommand command{admitted.start, answer.status, answer.body, admitted.log,
                               end_message};
    if (claims_->PostUntil(std::move(command), GraceDeadline())) return;
  }
  admitted.log->Finish(std::move(end_message));
}

CostMicros RunnerPool::RecordBilling(const AdmittedAttempt& admitted,
                                     const EndpointAnswer& answer) {
  const AttemptStartMessage& start = admitted.start;
  const CostMicros cost = admitted.version.Cost(answer.prompt, answer.completion);
  const bool ran = answer.ok || answer.chunks.value() > 0;
  if (!ran) {
    parts_.ledger.CancelReservation();
    return CostMicros(0);
  }
  BillingRecord record;
  record.request = start.request;
  record.account = start.account;
  record.model = start.model;
  record.version = start.version;
  record.step = start.step;
  record.prompt = start.prior_prompt + answer.prompt;
  record.completion = start.prior_completion + answer.completion;
  record.cost = start.prior_cost + cost;
  parts_.ledger.PostUntil(HoldRecordCommand{std::move(record), EndpointId()}, GraceDeadline());
  return cost;
}

}  // namespace bamboodock
