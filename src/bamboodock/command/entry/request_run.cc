#include "bamboodock/command/entry/request_run.h"

#include <algorithm>
#include <array>
#include <memory>
#include <utility>

namespace bamboodock {
namespace {

/// Failures that need not recur at another endpoint, so that a retry there can succeed.
constexpr std::array kRetryableCodes{
    ResultCode::kEndpointAtLimit,  ResultCode::kRingFull,         ResultCode::kLedgerFull,
    ResultCode::kEndpointLeaving,  ResultCode::kStaleEpoch,       ResultCode::kNotFresh,
    ResultCode::kZoneDrained,      ResultCode::kVersionNotServed, ResultCode::kNoConfiguration,
    ResultCode::kConnectionFailed, ResultCode::kEndpointFailed,   ResultCode::kConnectionSilent,
    ResultCode::kAttemptUnknown,   ResultCode::kStopping,
};
/// Planning takes microseconds; a longer wait means that the routing duty is overloaded.
constexpr std::chrono::milliseconds kPlanTimeout{500};

MonotonicTime GraceDeadline() { return std::chrono::steady_clock::now() + config::kGracePeriod; }

Failure OverloadFailure(const char* detail) {
  return {ResultCode::kOverloaded, detail, RunState::kNotRun, std::chrono::milliseconds(500)};
}

}  // namespace

Result<std::unique_ptr<RequestRun>> RequestRun::Admit(RequestContext& context,
                                                      const Ref<const ConfigSnapshot>& config,
                                                      const ClientAccountId& account,
                                                      MonotonicTime deadline) {
  if (!context.ledger.TryReserve()) {
    return Raise(Failure{ResultCode::kLedgerFull,
                         "the ledger is full: too many billing records are not confirmed",
                         RunState::kNotRun, std::chrono::seconds(1)});
  }
  auto reply = std::make_shared<BoundedRing<std::optional<Failure>>>(1);
  std::optional<Failure> failure = OverloadFailure("the routing queue is full");
  if (context.routes.Post(AdmitCommand{config->current().set, account, reply})) {
    const auto until = std::chrono::steady_clock::now() + kPlanTimeout;
    const auto answer = reply->PopUntil(until);
    failure =
        answer
            ? *answer
            : std::optional(OverloadFailure("no admission decision within the planning timeout"));
  }
  if (failure) {
    context.ledger.CancelReservation();
    return Raise(*failure);
  }
  return std::unique_ptr<RequestRun>(new RequestRun(context, account, deadline));
}

RequestRun::RequestRun(RequestContext& context, ClientAccountId account, MonotonicTime deadline)
    : context_(context),
      id_(context.ids.Next("r-")),
      account_(std::move(account)),
      begin_(std::chrono::steady_clock::now()),
      deadline_(deadline) {
  context_.timeline.Record(Event::kRequestAccepted, id_, "account=" + account_.value());
}

RequestRun::~RequestRun() {
  if (!ended_) Fail({ResultCode::kInternal, "the request ended without an outcome"});
}

StepResult RequestRun::RunStep(const StepInput& input, const std::vector<CascadeStep>& rejected,
                               StepObserver& observer) {
  StepResult step;
  bool is_retry = false;
  while (true) {
    PlanReply reply = RequestPlan(input, rejected, is_retry);
    if (!reply.plan) {
      // When no retry can be planned, the failure of the last attempt is the more specific reason.
      if (!is_retry) step.result.failure = reply.failure;
      return step;
    }
    step.plan = reply.plan;
    AttemptStartMessage start = StartMessage(input, *step.plan);
    step.attempt = start.attempt;
    context_.timeline.Record(Event::kStepPlanned, id_,
                             step.plan->endpoint.value() + " " + step.plan->version.value());
    AnswerSink& sink = observer.OnPlanned(*step.plan, step.attempt);
    const auto begin = std::chrono::steady_clock::now();
    step.result = context_.attempts.Run(step.plan->address, std::move(start), deadline_, sink);
    step_ = step_.Next();
    AttemptEndedCommand ended{step.plan->endpoint, step.plan->model, step.plan->version,
                              step.result.end.has_value(),
                              std::chrono::steady_clock::now() - begin};
    context_.routes.PostUntil(std::move(ended), GraceDeadline());
    // A refusal under a newer epoch means that the configuration of this entry is outdated.
    if (step.result.epoch > step.plan->epoch) context_.store_watch.Post(ReadHeadCommand{});
    if (step.result.end || !MayRetry(input, step.result)) return step;
    excluded_.insert(step.plan->endpoint);
    is_retry = true;
  }
}

void RequestRun::AddCost(const Plan& plan, const EndMessage& end) {
  billing_record_.request = id_;
  billing_record_.account = account_;
  billing_record_.model = plan.model;
  billing_record_.version = plan.version;
  billing_record_.step = StepNumber(step_.value() - 1);
  billing_record_.prompt += end.prompt;
  billing_record_.completion += end.completion;
  billing_record_.cost += end.cost;
  billed_endpoint_ = plan.endpoint;
  has_billing_record_ = true;
}

void RequestRun::MarkFirstByte() {
  if (first_byte_) return;
  first_byte_ = std::chrono::steady_clock::now() - begin_;
  context_.timeline.Record(Event::kFirstByte, id_, "");
}

void RequestRun::Succeed() {
  ended_ = true;
  context_.ledger.PostUntil(HoldRecordCommand{billing_record_, billed_endpoint_}, GraceDeadline());
  const Duration total = std::chrono::steady_clock::now() - begin_;
  context_.timeline.Record(Event::kRequestFinished, id_,
                           "cost=" + std::to_string(billing_record_.cost.value()));
  context_.routes.PostUntil(
      RequestEndedCommand{account_, true, first_byte_.value_or(total), total, billing_record_.cost},
      GraceDeadline());
}

void RequestRun::Fail(const Failure& failure) {
  ended_ = true;
  // Completed steps of a cascade are billed even when a later step failed.
  if (has_billing_record_) {
    context_.ledger.PostUntil(HoldRecordCommand{billing_record_, billed_endpoint_},
                              GraceDeadline());
  } else {
    context_.ledger.CancelReservation();
  }
  context_.timeline.Record(Event::kRequestFailed, id_, std::string(Name(failure.code)));
  context_.routes.PostUntil(RequestEndedCommand{account_, false, {}, {}, {}}, GraceDeadline());
}

PlanReply RequestRun::RequestPlan(const StepInput& input, const std::vector<CascadeStep>& rejected,
                                  bool is_retry) {
  auto reply = std::make_shared<BoundedRing<PlanReply>>(1);
  PlanCommand command{input.criteria, deadline_, rejected, excluded_, is_retry, reply};
  if (!context_.routes.Post(std::move(command))) {
    return {std::nullopt, OverloadFailure("the routing queue is full")};
  }
  const auto until = std::chrono::steady_clock::now() + kPlanTimeout;
  return reply->PopUntil(until).value_or(
      PlanReply{std::nullopt, OverloadFailure("no routing decision within the planning timeout")});
}

AttemptStartMessage RequestRun::StartMessage(const StepInput& input, const Plan& plan) const {
  AttemptStartMessage start;
  start.attempt = AttemptId(context_.ids.Next("a-"));
  start.request = id_;
  start.account = account_;
  start.kind = input.kind;
  start.model = plan.model;
  start.version = plan.version;
  start.service = input.criteria.service;
  start.step = step_;
  start.prior_cost = billing_record_.cost;
  start.prior_prompt = billing_record_.prompt;
  start.prior_completion = billing_record_.completion;
  start.epoch = plan.epoch;
  start.priority = plan.priority;
  start.idempotency_key = input.idempotency_key;
  start.repeatable = input.repeatable;
  start.method = input.method;
  start.path = input.path;
  start.headers = input.headers;
  start.body = input.body;
  return start;
}

bool RequestRun::MayRetry(const StepInput& input, const AttemptResult& result) const {
  if (result.caller_left || result.delivered.value() > 0) return false;
  if (std::chrono::steady_clock::now() >= deadline_) return false;
  // A call that may have run is retried only if it is repeatable.
  if (result.failure.run != RunState::kNotRun && !input.repeatable) return false;
  return std::find(kRetryableCodes.begin(), kRetryableCodes.end(), result.failure.code) !=
         kRetryableCodes.end();
}

}  // namespace bamboodock
