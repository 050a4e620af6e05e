#pragma once

#include <optional>
#include <set>
#include <string>
#include <vector>

#include "bamboodock/command/entry/request_context.h"
#include "bamboodock/command/entry/route_messages.h"

namespace bamboodock {

/// Input of one step of a request, apart from its plan.
struct StepInput {
  RoutingCriteria criteria;
  AttemptKind kind = AttemptKind::kChat;
  IdempotencyKey idempotency_key;
  bool repeatable = true;
  std::string method;
  std::string path;
  std::vector<HttpHeader> headers;
  std::string body;
};

/// Outcome of one step: its last attempt. `plan` is empty when no attempt could be planned.
struct StepResult {
  std::optional<Plan> plan;
  AttemptId attempt;
  AttemptResult result;
};

/// Notified of each attempt before it is sent, so that the caller can receive its handle first.
class StepObserver {
 public:
  virtual ~StepObserver() = default;
  /// Returns the sink for the answer of the attempt; it must outlive the attempt.
  virtual AnswerSink& OnPlanned(const Plan& plan, const AttemptId& attempt) = 0;
};

/// One admitted request: its place within the account limits, its attempts, retries and billing
/// record.
///
/// The destructor fails a request that has not ended, which releases all that it holds.
class RequestRun {
 public:
  /// Admits a request within the account limits and reserves a ledger slot for its billing record.
  /// Fails with `kLedgerFull`, `kOverloaded`, `kUnauthorized`, `kAccountRateLimit` or
  /// `kAccountConcurrencyLimit`; no slot is then held.
  static Result<std::unique_ptr<RequestRun>> Admit(RequestContext& context,
                                                   const Ref<const ConfigSnapshot>& config,
                                                   const ClientAccountId& account,
                                                   MonotonicTime deadline);
  ~RequestRun();
  RequestRun(const RequestRun&) = delete;
  RequestRun& operator=(const RequestRun&) = delete;

  const RequestId& id() const { return id_; }
  MonotonicTime deadline() const { return deadline_; }

  /// Plans and runs attempts until one gives an answer or a failure that must not be retried.
  StepResult RunStep(const StepInput& input, const std::vector<CascadeStep>& rejected,
                     StepObserver& observer);
  /// Adds the cost of an answer to the billing record of the request.
  void AddCost(const Plan& plan, const EndMessage& end);
  /// Records the time of the first byte sent to the caller; later calls have no effect.
  void MarkFirstByte();
  /// Ends the request after its answer was delivered; the ledger holds the billing record until it
  /// is confirmed.
  void Succeed();
  /// Ends the request without a complete answer.
  void Fail(const Failure& failure);

 private:
  RequestRun(RequestContext& context, ClientAccountId account, MonotonicTime deadline);

  PlanReply RequestPlan(const StepInput& input, const std::vector<CascadeStep>& rejected,
                        bool is_retry);
  AttemptStartMessage StartMessage(const StepInput& input, const Plan& plan) const;
  /// Whether the failed attempt may be retried at another endpoint.
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
