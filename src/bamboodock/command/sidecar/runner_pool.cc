#include "bamboodock/command/sidecar/runner_pool.h"

#include <utility>

namespace bamboodock {
namespace {

/// Work waiting for a thread; admission keeps the sum at the endpoint's limit.
constexpr std::size_t kRingCapacity = 1024;

MonotonicTime InGraceLimit() { return std::chrono::steady_clock::now() + config::kGracePeriod; }

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
  while (std::optional<Work> work = ring_.Pop()) Execute(*work);
}

void RunnerPool::Execute(Work& work) {
  parts_.timeline.Record(Event::kAttemptStarted, work.start.request, work.start.attempt.value());
  const EndpointCaller& caller =
      work.start.kind == WorkKind::kChat ? static_cast<const EndpointCaller&>(chat_) : plain_;
  const EndpointAnswer answer = caller.Call(HttpClient(parts_.endpoint), work);
  Finish(work, answer);
}

void RunnerPool::Finish(const Work& work, const EndpointAnswer& answer) {
  const AttemptStartMessage& start = work.start;
  if (!answer.ok && !answer.sent) {
    Failure failure = answer.failure;
    failure.run = RunState::kNotRun;
    parts_.timeline.Record(Event::kAttemptFailed, start.request, failure.detail);
    admission_->PostUntil(LoadReportCommand{}, InGraceLimit());
    admission_->PostUntil(WithdrawCommand{start.attempt, std::move(failure)}, InGraceLimit());
    return;
  }
  const CostMicros cost = Bill(work, answer);
  if (answer.ok) {
    EndMessage end{answer.chunks, answer.prompt,     answer.completion,
                   cost,          answer.confidence, parts_.timeline.clock().Tick()};
    parts_.timeline.Record(Event::kAttemptFinished, start.request, start.attempt.value());
    FinishAnswer(work, answer, EncodeMessage(SidecarMessage(end)));
  } else {
    work.log->Finish(EncodeMessage(SidecarMessage(RefusedMessage{answer.failure, Epoch()})));
    parts_.timeline.Record(Event::kAttemptFailed, start.request, answer.failure.detail);
  }
  WorkOutcome outcome{start.attempt, start.model,      start.version,
                      answer.ok,     answer.cancelled, answer.first_token};
  admission_->PostUntil(std::move(outcome), InGraceLimit());
}

void RunnerPool::FinishAnswer(const Work& work, const EndpointAnswer& answer, std::string end) {
  if (work.needs_claim) {
    FinishClaimCommand command{work.start, answer.status, answer.body, work.log, end};
    if (claims_->PostUntil(std::move(command), InGraceLimit())) return;
  }
  work.log->Finish(std::move(end));
}

CostMicros RunnerPool::Bill(const Work& work, const EndpointAnswer& answer) {
  const AttemptStartMessage& start = work.start;
  const CostMicros cost = work.version.Cost(answer.prompt, answer.completion);
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
  parts_.ledger.PostUntil(HoldRecordCommand{std::move(record), EndpointId()}, InGraceLimit());
  return cost;
}

}  // namespace bamboodock
