#pragma once

#include <optional>
#include <string>

#include "bamboodock/codec/event_splitter.h"
#include "bamboodock/command/router/answer_writer.h"
#include "bamboodock/command/router/endpoint_call.h"
#include "bamboodock/command/router/network_services.h"
#include "bamboodock/command/router/pending_plan.h"
#include "bamboodock/policy/attempt_timing.h"
#include "bamboodock/policy/event_pace.h"

namespace bamboodock {

/// Serves one request: plans attempts, calls endpoints, relays the answer.
///
/// The rules of repetition are here: what was sent for a request that is not idempotent is sent
/// again only when the endpoint states that it did not run it.
class RequestExchange {
 public:
  RequestExchange(NetworkServices& services, asio::any_io_executor executor, AnswerWriter& writer,
                  Ref<const CallerRequest> request);

  /// Returns whether the caller's connection may be used again.
  asio::awaitable<bool> Run();
  /// The caller has closed its connection: everything in progress ends.
  void OnCallerClosed();

 private:
  /// What follows an attempt.
  struct NextStep {
    /// Set when the request has ended.
    std::optional<bool> reusable;
    PlanReason reason = PlanReason::kNotRun;
    ModelId model;
    /// Set when the next attempt is planned already.
    std::optional<AttemptPlan> plan;

    static NextStep Finished(bool reusable) { return {reusable, PlanReason::kNotRun, {}, {}}; }
    static NextStep Retry(PlanReason reason, ModelId model = {}) {
      return {std::nullopt, reason, std::move(model), {}};
    }
    static NextStep UsePlan(AttemptPlan plan) {
      return {std::nullopt, PlanReason::kFirst, {}, std::move(plan)};
    }
  };

  asio::awaitable<PlanAnswer> RequestPlan(PlanReason reason, ModelId model,
                                          std::uint32_t confidence = 0);
  /// Plan of the first attempt; waits a little for knowledge or an endpoint that is missing.
  asio::awaitable<PlanAnswer> RequestFirstPlan();
  asio::awaitable<NextStep> RunAttempt(AttemptPlan plan);
  asio::awaitable<NextStep> OnHead(const AttemptPlan& plan, const CallHead& received);
  asio::awaitable<NextStep> OnNoHead(const AttemptPlan& plan, CallStatus status);
  asio::awaitable<NextStep> OnFailureAnswer(const AttemptPlan& plan, AnswerHead head);
  asio::awaitable<NextStep> RelayBuffered(const AttemptPlan& plan, AnswerHead head);
  asio::awaitable<NextStep> RelayStream(const AttemptPlan& plan, AnswerHead head);
  /// Waits for bytes. After `patience` without any, another attempt is planned, if one is possible;
  /// the attempt in progress is given up only for a plan.
  asio::awaitable<CallStatus> AwaitBytes(Duration soft_timeout);
  /// Ends an attempt in favour of the one in `planned_`.
  NextStep SwitchToPlanned(const AttemptPlan& plan, std::string_view detail);
  /// Plan for a better model; empty when the answer is good enough or there is none.
  asio::awaitable<std::optional<AttemptPlan>> PlanBetterModel(const AttemptPlan& plan,
                                                              const AnswerHead& head);
  asio::awaitable<CallStatus> RelayEvents();
  asio::awaitable<NextStep> EndStream(const AttemptPlan& plan, CallStatus status);
  /// Reads the rest of a body that is kept whole.
  asio::awaitable<CallStatus> ReadFullBody(std::string& body);
  asio::awaitable<NextStep> RetryOrFail(PlanReason reason, ResultCode code);
  asio::awaitable<bool> Refuse(Failure failure);
  asio::awaitable<bool> RefuseExpired();

  bool CanRetry() const;
  bool IsLastAttempt() const;
  Duration TimeLeft() const;
  bool IsStreamRoute() const;
  void SetDeadline(const Route& route);
  void Report(const AttemptPlan& plan, AttemptOutcome outcome, std::string_view detail);
  void Post(RouteCommand report);
  void LogEnd(Event event, int status, std::string_view detail);

  NetworkServices& services_;
  asio::any_io_executor executor_;
  AnswerWriter& writer_;
  Ref<const CallerRequest> request_;
  AttemptTiming timing_;
  MonotonicTime deadline_;
  bool route_sets_deadline_ = false;

  RequestProgress progress_;
  Ref<PendingPlan> pending_plan_;
  Ref<EndpointCall> call_;
  EventSplitter events_;
  bool caller_closed_ = false;
  /// Attempts whose request may have run.
  std::uint32_t runs_ = 0;
  /// Attempts that certainly did not run.
  std::uint32_t not_run_ = 0;
  MonotonicTime attempt_started_{};
  std::optional<Duration> head_latency_;
  EventPace pace_;
  /// RunAttempt that is to take the place of a silent one.
  std::optional<AttemptPlan> planned_;
  /// Failure that an endpoint answered, kept while other endpoints are tried.
  std::optional<std::pair<AnswerHead, std::string>> endpoint_failure_;
};

}  // namespace bamboodock
