#pragma once

#include <optional>
#include <set>
#include <string>
#include <vector>

#include "bamboodock/command/entry/request_context.h"
#include "bamboodock/command/entry/route_messages.h"

namespace bamboodock {

/// What one step of a request needs besides the plan.
struct StepInput {
  RoutingCriteria criteria;
  WorkKind kind = WorkKind::kChat;
  IdempotencyKey idempotency_key;
  bool repeatable = true;
  std::string method;
  std::string path;
  std::vector<HttpHeader> headers;
  std::string body;
};

/// An attempt that was planned and run.
struct StepResult {
  std::optional<Plan> plan;
  AttemptId attempt;
  AttemptResult result;
};

/// Told of the attempt before it is sent, so that its handle can reach the caller first.
class StepObserver {
 public:
  virtual ~StepObserver() = default;
  /// The sink that receives the attempt's answer.
  virtual AnswerSink& OnPlanned(const Plan& plan, const AttemptId& attempt) = 0;
};

/// One admitted request: its limits, attempts, retries and bill.
///
/// The destructor gives back what the request holds.
class RequestRun {
 public:
  /// Takes a place within the limits of the account and room for a bill; fails when there is none.
  static Result<std::unique_ptr<RequestRun>> Admit(RequestContext& context,
                                                   const Ref<const ConfigSnapshot>& config,
                                                   const ClientAccountId& account,
                                                   MonotonicTime deadline);
  ~RequestRun();
  RequestRun(const RequestRun&) = delete;
  RequestRun& operator=(const RequestRun&) = delete;

  const RequestId& id() const { return id_; }
  MonotonicTime deadline() const { return deadline_; }

  /// Plans and runs attempts until one ends with an answer or a failure that is final.
  StepResult RunStep(const StepInput& input, const std::vector<CascadeStep>& rejected,
                     StepObserver& observer);
  /// Adds the cost of an answer to the request's bill.
  void AddCost(const Plan& plan, const EndMessage& end);
  /// Marks the first byte passed to the caller.
  void MarkFirstByte();
  /// The answer has been delivered; its bill is held until it is confirmed.
  void Succeed();
  /// The request ended without a whole answer.
  void Fail(const Failure& failure);

 private:
  RequestRun(RequestContext& context, ClientAccountId account, MonotonicTime deadline);

  PlanReply RequestPlan(const StepInput& input, const std::vector<CascadeStep>& rejected,
                        bool is_retry);
  AttemptStartMessage StartMessage(const StepInput& input, const Plan& plan) const;
  /// Whether the failed attempt may be repeated at another endpoint.
  bool MayRetry(const StepInput& input, const AttemptResult& result) const;

  RequestContext& context_;
  RequestId id_;
  ClientAccountId account_;
  MonotonicTime begin_;
  MonotonicTime deadline_;
  std::optional<Duration> first_byte_;
  std::set<EndpointId> excluded_;
  StepNumber step_;
  BillingRecord billing_record_;
  EndpointId billed_endpoint_;
  bool has_billing_record_ = false;
  bool ended_ = false;
};

}  // namespace bamboodock
