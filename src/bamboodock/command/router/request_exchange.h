#pragma once

#include <optional>
#include <string>

#include "bamboodock/codec/event_splitter.h"
#include "bamboodock/command/router/answer_writer.h"
#include "bamboodock/command/router/attempt_record.h"
#include "bamboodock/command/router/endpoint_call.h"
#include "bamboodock/command/router/held_memory.h"
#include "bamboodock/command/router/network_services.h"
#include "bamboodock/command/router/pending_plan.h"
#include "bamboodock/policy/attempt_timeouts.h"

namespace bamboodock {

/// Serves one request: requests plans, calls endpoints and relays the answer.
///
/// Used on the network duty's thread only. Implements the retry rules: a request that is not
/// idempotent is sent again only when the endpoint states that it did not run it.
class RequestExchange {
 public:
  RequestExchange(NetworkServices& services, HeldMemory& memory, asio::any_io_executor executor,
                  AnswerWriter& writer, Ref<const CallerRequest> request);

  /// Serves the request; returns whether the caller's connection can be reused.
  asio::awaitable<bool> Run();
  /// Cancels the attempt or the wait in progress, because the caller has closed its connection.
  void OnCallerClosed();
  /// Cancels the attempt or the wait in progress and refuses the request, because the process is
  /// about to exit. A begun stream ends truncated.
  void OnStopping();

 private:
  /// What to do after an attempt.
  struct Action {
    /// Set when the request has ended: whether the connection can be reused.
    std::optional<bool> reusable;
    PlanReason reason = PlanReason::kNotRun;
    ModelId model;
    /// Set when the next attempt has already been planned.
    std::optional<AttemptPlan> plan;

    static Action Finished(bool reusable) { return {reusable, PlanReason::kNotRun, {}, {}}; }
    static Action Retry(PlanReason reason, ModelId model = {}) {
      return {std::nullopt, reason, std::move(model), {}};
    }
    static Action UsePlan(AttemptPlan plan) {
      return {std::nullopt, PlanReason::kFirst, {}, std::move(plan)};
    }
  };

  asio::awaitable<bool> Serve();
  asio::awaitable<PlanAnswer> RequestPlan(PlanReason reason, ModelId model,
                                          std::uint32_t confidence = 0);
  /// Plan of the first attempt. Asks repeatedly for a short time while the configuration is missing
  /// or stale or no endpoint is usable.
  asio::awaitable<PlanAnswer> RequestFirstPlan();
  asio::awaitable<Action> RunAttempt(AttemptPlan plan);
  asio::awaitable<Action> OnHead(const AttemptPlan& plan, const CallHead& received);
  asio::awaitable<Action> OnNoHead(const AttemptPlan& plan, CallStatus status);
  asio::awaitable<Action> OnFailureAnswer(const AttemptPlan& plan, AnswerHead head);
  asio::awaitable<Action> RelayBuffered(const AttemptPlan& plan, AnswerHead head);
  asio::awaitable<Action> RelayStream(const AttemptPlan& plan, AnswerHead head);
  /// Waits for bytes. If none arrive within `soft_timeout`, or if it has passed already, requests a
  /// plan for a retry, if one is allowed. The attempt in progress is abandoned only when there is
  /// such a plan, which is stored in `planned_`.
  asio::awaitable<CallStatus> AwaitBytes(Duration soft_timeout);
  /// Cancels the attempt and continues with the one in `planned_`.
  Action SwitchToPlanned(const AttemptPlan& plan, std::string_view detail);
  /// Reports the confidence of the answer, and returns the plan of an attempt with a larger model;
  /// empty when the confidence suffices, no larger model can end in time or the request may not run
  /// again.
  asio::awaitable<std::optional<AttemptPlan>> PlanLargerModel(const AttemptPlan& plan);
  asio::awaitable<CallStatus> RelayEvents(const AttemptPlan& plan);
  asio::awaitable<Action> EndStream(const AttemptPlan& plan, CallStatus status);
  /// Reads the rest of the body into memory, up to its size limit and as far as the claim can grow.
  asio::awaitable<CallStatus> ReadFullBody(std::string& body, MemoryClaim& claim);
  asio::awaitable<Action> RetryOrFail(PlanReason reason, ResultCode code);
  asio::awaitable<bool> Refuse(Failure failure);
  asio::awaitable<bool> RefuseExpired();

  void CancelCurrentStep();
  /// Whether no further attempt is to be made, whatever the one in progress returns.
  bool IsAbandoned() const { return caller_closed_ || stopping_; }
  /// Whether a request that may have run may be sent again.
  bool CanRetry() const;
  bool IsLastAttempt() const;
  Duration TimeLeft() const;
  bool IsStreamRoute() const;
  void SetDeadline(const Route& route);
  /// Counts a complete answer by the position of its model.
  void CountAnswer(const AttemptPlan& plan);
  /// Counts an answer that was given up because of its size.
  void CountOverLimit(CallStatus status);
  /// Reports an attempt that was planned and will not be sent.
  void ReleaseUnsent(const AttemptPlan& plan);
  void Report(const AttemptPlan& plan, AttemptOutcome outcome, std::string_view detail);
  /// Reports an attempt that ended with this status.
  void ReportFailed(const AttemptPlan& plan, CallStatus status, std::string_view detail);
  /// Logs the parts of the prompt when the answer was lost before it was under way.
  void LogLostPrompt(const AttemptPlan& plan);
  void ReportUnderWay(const AttemptPlan& plan);
  /// Reports that the request has ended, if it belongs to a session and an attempt was planned.
  void ReportSessionRequestEnd();
  /// Reports what became of the prompt, if it has parts that other requests may share.
  void ReportPrompt(const AttemptPlan& plan, PromptFate fate);
  void Post(RouteCommand report);
  void LogEnd(Event event, int status, std::string_view detail);

  NetworkServices& services_;
  HeldMemory& memory_;
  asio::any_io_executor executor_;
  AnswerWriter& writer_;
  Ref<const CallerRequest> request_;
  AttemptTimeouts timeouts_;
  MonotonicTime deadline_;
  bool route_sets_deadline_ = false;

  RequestProgress progress_;
  /// Service of the planned attempts; empty before the first one.
  ServiceId planned_service_;
  Ref<PendingPlan> pending_plan_;
  Ref<EndpointCall> call_;
  EventSplitter events_;
  bool caller_closed_ = false;
  bool stopping_ = false;
  /// Attempts whose request may have run.
  std::uint32_t runs_ = 0;
  /// Attempts whose request certainly did not run.
  std::uint32_t not_run_ = 0;
  AttemptRecord attempt_;
  /// Attempt that replaces one without an answer.
  std::optional<AttemptPlan> planned_;
  /// Last error answer of an endpoint, delivered if no other endpoint succeeds.
  std::optional<std::pair<AnswerHead, std::string>> endpoint_failure_;
  MemoryClaim endpoint_failure_claim_;
};

}  // namespace bamboodock
