#include "bamboodock/command/router/request_exchange.h"

#include <fmt/format.h>

#include <algorithm>
#include <boost/asio/steady_timer.hpp>
#include <utility>

namespace bamboodock {
namespace {

/// Deadline of a request whose caller and route state none.
constexpr std::chrono::seconds kDefaultDeadline{60};
/// Longest wait for a decision of the planning duty.
constexpr std::chrono::milliseconds kPlanTimeout{1500};
/// Attempts that did not run, after which a request is refused.
constexpr std::uint32_t kMostNotRun = 4;
/// Largest answer that is kept whole before it is passed on.
constexpr std::size_t kLargestWhole = 16U << 20U;
constexpr std::chrono::milliseconds kRetryAfterFailure{250};

/// Codes that promise that a request has not run.
bool IsPromise(int status) {
  return status == 408 || status == 421 || status == 429 || status == 503;
}

/// Whether the reason of a refusal may pass within a fraction of a second.
bool MayPassSoon(ResultCode code) {
  return code == ResultCode::kNoConfiguration || code == ResultCode::kNotFresh ||
         code == ResultCode::kNoEndpoint;
}

std::chrono::milliseconds AtLeastOneMs(Duration duration) {
  return std::max(std::chrono::duration_cast<std::chrono::milliseconds>(duration),
                  std::chrono::milliseconds(1));
}

/// Milliseconds for a log line; -1 when there is no value.
std::int64_t MillisOrNone(const std::optional<Duration>& time) {
  if (!time) return -1;
  return std::chrono::duration_cast<std::chrono::milliseconds>(*time).count();
}

AttemptOutcome OutcomeOf(CallStatus status) {
  switch (status) {
    case CallStatus::kUnreachable:
      return AttemptOutcome::kUnreachable;
    case CallStatus::kSilent:
      return AttemptOutcome::kSilent;
    case CallStatus::kCancelled:
      return AttemptOutcome::kCancelled;
    default:
      return AttemptOutcome::kBroken;
  }
}

}  // namespace

RequestExchange::RequestExchange(NetworkServices& services, asio::any_io_executor executor,
                                 AnswerWriter& writer, Ref<const CallerRequest> request)
    : services_(services),
      executor_(std::move(executor)),
      writer_(writer),
      request_(std::move(request)),
      deadline_(request_->arrived + request_->traits.time_left.value_or(kDefaultDeadline)) {
  events_.set_last_id(request_->traits.last_event);
}

void RequestExchange::OnCallerClosed() {
  caller_closed_ = true;
  if (call_) call_->Cancel();
  if (slot_) slot_->timer().cancel();
}

Duration RequestExchange::Left() const { return deadline_ - services_.clock.Now(); }

void RequestExchange::SetDeadline(const Route& route) {
  if (route.timeout <= Duration::zero()) return;
  const MonotonicTime by_route = request_->arrived + route.timeout;
  timed_by_route_ = by_route < deadline_;
  deadline_ = std::min(deadline_, by_route);
}

bool RequestExchange::IsLastAttempt() const {
  return progress_.route == nullptr || runs_ + 1 >= progress_.route->max_attempts;
}

bool RequestExchange::CanRepeat() const {
  return progress_.route != nullptr && progress_.route->Idempotent() &&
         runs_ < progress_.route->max_attempts;
}

bool RequestExchange::IsStreamRoute() const { return progress_.route->kind == RouteKind::kStream; }

void RequestExchange::LogEnd(Event event, int status, std::string_view detail) {
  const Duration took = services_.clock.Now() - request_->arrived;
  services_.log.Write(
      event, RequestId(request_->traits.attempt.value()),
      fmt::format(
          "status={} runs={} not_run={} took_ms={} route={} model={} note='{}'", status, runs_,
          not_run_, std::chrono::duration_cast<std::chrono::milliseconds>(took).count(),
          progress_.route ? progress_.route->id.value() : "", progress_.model.value(), detail));
}

void RequestExchange::Report(const AttemptPlan& plan, AttemptOutcome outcome,
                             std::string_view detail) {
  AttemptReport report;
  report.endpoint = plan.endpoint;
  report.started = plan.started;
  report.service = plan.progress.service->id;
  report.route = plan.progress.route->id;
  report.version = plan.version;
  report.outcome = outcome;
  report.head_latency = head_latency_;
  report.event_interval = pace_.Interval();
  report.work = plan.work;
  report.prompt_tokens = request_->traits.prompt_tokens;
  report.model = plan.model.empty() ? request_->traits.model : plan.model;
  services_.log.Write(Event::kAttemptEnded, RequestId(request_->traits.attempt.value()),
                      fmt::format("endpoint={} outcome={} head_ms={} event_ms={} note='{}'",
                                  plan.endpoint.value(), Name(outcome), MillisOrNone(head_latency_),
                                  MillisOrNone(report.event_interval), detail));
  Post(std::move(report));
}

void RequestExchange::Post(RouteCommand report) {
  if (services_.post(std::move(report))) return;
  services_.log.Write(Event::kRequestBroken, RequestId(request_->traits.attempt.value()),
                      "code=ring_full: the course of an attempt was not counted");
}

asio::awaitable<PlanAnswer> RequestExchange::AskPlan(PlanReason reason, ModelId model,
                                                     std::uint32_t confidence) {
  slot_ = MakeRef<PlanSlot>(executor_);
  slot_->timer().expires_after(kPlanTimeout);
  PlanAnswer answer;
  answer.refusal = {ResultCode::kRingFull, "planning ring", RunState::kNotRun, kRetryAfterFailure};
  PlanQuery query{request_, reason, progress_, std::move(model), confidence, slot_};
  if (!services_.post(std::move(query))) co_return answer;
  SocketError error;
  co_await slot_->timer().async_wait(CaptureError(error));
  if (slot_->answer()) answer = std::move(*slot_->answer());
  slot_.reset();
  co_return answer;
}

asio::awaitable<PlanAnswer> RequestExchange::AskFirstPlan() {
  while (true) {
    PlanAnswer answer = co_await AskPlan(PlanReason::kFirst, ModelId());
    const Duration waited = services_.clock.Now() - request_->arrived + timing_.replan_pause;
    const bool may_come = MayPassSoon(answer.refusal.code) &&
                          waited < std::min(PlanWait(timing_, answer.route), Left());
    if (answer.plan || caller_closed_ || !may_come) co_return answer;
    asio::steady_timer pause(executor_, timing_.replan_pause);
    SocketError error;
    co_await pause.async_wait(CaptureError(error));
  }
}

asio::awaitable<bool> RequestExchange::Run() {
  PlanAnswer answer = co_await AskFirstPlan();
  while (true) {
    if (caller_closed_) {
      if (planned_) answer.plan = std::move(planned_);
      if (answer.plan) {
        head_latency_.reset();
        Report(*answer.plan, AttemptOutcome::kCancelled, "caller closed before the send");
      }
      ++services_.counters.callers_left;
      LogEnd(Event::kCallerClosed, 0, "caller closed");
      co_return false;
    }
    if (!answer.plan) {
      co_return co_await Refuse(std::move(answer.refusal));
    }
    AttemptPlan plan = std::move(*answer.plan);
    answer.plan.reset();
    Next next = co_await Attempt(std::move(plan));
    if (next.reusable) co_return *next.reusable;
    answer.plan = std::move(next.plan);
    if (caller_closed_) continue;
    ++services_.counters.repeats;
    if (answer.plan) continue;
    answer = co_await AskPlan(next.reason, std::move(next.model));
  }
}

asio::awaitable<bool> RequestExchange::Refuse(Failure failure) {
  if (writer_.begun()) {
    ++services_.counters.broken;
    LogEnd(Event::kRequestBroken, 0, failure.detail);
    co_return false;
  }
  if (endpoint_failure_) {
    auto [head, body] = std::move(*endpoint_failure_);
    LogEnd(Event::kRequestAnswered, head.status, "failure of the endpoint");
    const bool sent = co_await writer_.SendWhole(std::move(head), std::move(body), false);
    co_return sent&& writer_.keep_alive();
  }
  const bool may_have_run = runs_ > 0;
  const bool idempotent = progress_.route != nullptr && progress_.route->Idempotent();
  if (may_have_run && !idempotent && IsPromise(HttpStatus(failure.code))) {
    failure.code = ResultCode::kOutcomeUnknown;
    failure.retry_after = {};
  }
  ++services_.counters.refused;
  LogEnd(Event::kRequestAnswered, HttpStatus(failure.code), Name(failure.code));
  const bool sent = co_await writer_.SendRefusal(std::move(failure));
  co_return sent&& writer_.keep_alive();
}

asio::awaitable<bool> RequestExchange::Expire() {
  const ResultCode code =
      runs_ > 0 || timed_by_route_ ? ResultCode::kDeadlineExceeded : ResultCode::kOverloaded;
  Failure failure{code, "time is over", RunState::kUnknown, {}};
  co_return co_await Refuse(std::move(failure));
}

asio::awaitable<RequestExchange::Next> RequestExchange::RetryOrFail(PlanReason reason,
                                                                    ResultCode code) {
  if (caller_closed_) co_return Next::Again(reason);
  if (Left() <= Duration::zero()) {
    const bool reusable = co_await Expire();
    co_return Next::Done(reusable);
  }
  if (reason == PlanReason::kNotRun && not_run_ <= kMostNotRun) co_return Next::Again(reason);
  if (reason != PlanReason::kNotRun && CanRepeat()) co_return Next::Again(reason, progress_.model);
  if (reason == PlanReason::kNotRun) code = ResultCode::kNoEndpoint;
  Failure failure{code, "no attempt is left", RunState::kUnknown, kRetryAfterFailure};
  const bool reusable = co_await Refuse(std::move(failure));
  co_return Next::Done(reusable);
}

asio::awaitable<RequestExchange::Next> RequestExchange::Attempt(AttemptPlan plan) {
  progress_ = plan.progress;
  SetDeadline(*progress_.route);
  head_latency_.reset();
  pace_ = {};
  if (Left() <= Duration::zero()) {
    Report(plan, AttemptOutcome::kCancelled, "time is over before the send");
    const bool reusable = co_await Expire();
    co_return Next::Done(reusable);
  }
  ++services_.counters.attempts;
  call_ = MakeRef<EndpointCall>(executor_);
  const auto connect_wait = AtLeastOneMs(std::min<Duration>(Left(), timing_.connect));
  const CallStatus opened = co_await call_->Open(plan.address, connect_wait);
  if (opened != CallStatus::kOk) {
    ++not_run_;
    Report(plan, OutcomeOf(opened), "no connection");
    co_return co_await RetryOrFail(PlanReason::kNotRun, ResultCode::kConnectionFailed);
  }
  if (services_.clock.Now() >= plan.valid_until) {
    call_->Cancel();
    Report(plan, AttemptOutcome::kCancelled, "configuration too old at the send");
    Failure failure{ResultCode::kNotFresh, "keys may be gone", RunState::kNotRun,
                    kRetryAfterFailure};
    const bool reusable = co_await Refuse(std::move(failure));
    co_return Next::Done(reusable);
  }
  const bool last = IsLastAttempt();
  ForwardTraits forward;
  forward.endpoint = plan.endpoint;
  forward.account = plan.progress.account;
  forward.model = plan.model;
  forward.time_left = std::max<Duration>(Left(), std::chrono::milliseconds(1));
  forward.engine_urgency = plan.engine_urgency;
  forward.last_event = events_.last_id();
  attempt_began_ = services_.clock.Now();
  ++runs_;
  std::vector<HttpHeader> added = services_.protocol.AttemptHeaders(*request_, forward);
  call_->Send(request_, std::move(added));
  const Duration patience = HeadWait(timing_, *progress_.route, plan.suspect, Left(), last);
  const CallStatus waited = co_await AwaitBytes(patience);
  if (planned_) co_return TakePlanned(plan, "no answer");
  if (waited != CallStatus::kOk) {
    co_return co_await OnNoHead(plan, waited);
  }
  const auto left = AtLeastOneMs(Left());
  const CallHead head = co_await call_->ReadHead(left);
  if (head.status != CallStatus::kOk) {
    co_return co_await OnNoHead(plan, head.status);
  }
  co_return co_await OnHead(plan, head);
}

asio::awaitable<CallStatus> RequestExchange::AwaitBytes(Duration patience) {
  const auto first_wait = AtLeastOneMs(patience);
  const CallStatus first = co_await call_->AwaitBytes(first_wait);
  if (first != CallStatus::kSilent || Left() <= Duration::zero()) co_return first;
  if (CanRepeat()) {
    const PlanReason reason = writer_.begun() ? PlanReason::kResume : PlanReason::kFailed;
    PlanAnswer answer = co_await AskPlan(reason, progress_.model);
    planned_ = std::move(answer.plan);
    if (planned_ || caller_closed_) co_return first;
  }
  const auto rest = AtLeastOneMs(Left());
  co_return co_await call_->AwaitBytes(rest);
}

RequestExchange::Next RequestExchange::TakePlanned(const AttemptPlan& plan,
                                                   std::string_view detail) {
  call_->Cancel();
  Report(plan, AttemptOutcome::kSilent, detail);
  Next next = Next::With(std::move(*planned_));
  planned_.reset();
  return next;
}

asio::awaitable<RequestExchange::Next> RequestExchange::OnNoHead(const AttemptPlan& plan,
                                                                 CallStatus status) {
  call_->Cancel();
  Report(plan, OutcomeOf(status), "no answer");
  const PlanReason reason = writer_.begun() ? PlanReason::kResume : PlanReason::kFailed;
  const ResultCode code =
      status == CallStatus::kSilent ? ResultCode::kConnectionSilent : ResultCode::kOutcomeUnknown;
  co_return co_await RetryOrFail(reason, code);
}

asio::awaitable<RequestExchange::Next> RequestExchange::OnHead(const AttemptPlan& plan,
                                                               const CallHead& received) {
  AnswerHead head =
      services_.protocol.ReadAnswer(received.code, received.headers, request_->traits.attempt);
  head_latency_ = services_.clock.Now() - attempt_began_;
  Post(HeadReport{plan.endpoint, plan.started, plan.work, head.load});
  if (head.not_run) {
    --runs_;
    ++not_run_;
    call_->Cancel();
    Report(plan, head.wrong_endpoint ? AttemptOutcome::kWrongEndpoint : AttemptOutcome::kRefused,
           fmt::format("status {}", head.status));
    co_return co_await RetryOrFail(PlanReason::kNotRun, ResultCode::kNoEndpoint);
  }
  const bool malformed = !head.matches_request || head.encoded ||
                         (head.Success() && !head.has_digest) || IsPromise(head.status);
  if (malformed) {
    call_->Cancel();
    Report(plan, AttemptOutcome::kBroken, fmt::format("status {} malformed", head.status));
    const PlanReason reason = writer_.begun() ? PlanReason::kResume : PlanReason::kFailed;
    co_return co_await RetryOrFail(reason, ResultCode::kBadMessage);
  }
  if (!head.Success()) {
    co_return co_await OnFailureAnswer(plan, std::move(head));
  }
  if (IsStreamRoute()) {
    co_return co_await RelayStream(plan, std::move(head));
  }
  co_return co_await RelayWhole(plan, std::move(head));
}

asio::awaitable<CallStatus> RequestExchange::ReadWhole(std::string& body) {
  while (true) {
    const auto wait = AtLeastOneMs(Left());
    const CallPiece piece = co_await call_->Read(wait);
    body += piece.bytes;
    if (piece.status == CallStatus::kEnd) co_return CallStatus::kOk;
    if (piece.status != CallStatus::kOk) co_return piece.status;
    if (body.size() > kLargestWhole) co_return CallStatus::kBroken;
  }
}

asio::awaitable<RequestExchange::Next> RequestExchange::OnFailureAnswer(const AttemptPlan& plan,
                                                                        AnswerHead head) {
  std::string body;
  const CallStatus status = co_await ReadWhole(body);
  call_->Cancel();
  const bool own_failure = head.status >= 500;
  Report(plan, own_failure ? AttemptOutcome::kFailure : AttemptOutcome::kGood,
         fmt::format("status {}", head.status));
  if (caller_closed_) co_return Next::Again(PlanReason::kFailed);
  if (status == CallStatus::kOk) endpoint_failure_.emplace(std::move(head), std::move(body));
  if (writer_.begun()) {
    co_return co_await RetryOrFail(PlanReason::kResume, ResultCode::kEndpointFailed);
  }
  if (own_failure && CanRepeat()) co_return Next::Again(PlanReason::kFailed, plan.model);
  Failure failure{ResultCode::kAnswerIncomplete, "failure of the endpoint", RunState::kRan, {}};
  const bool reusable = co_await Refuse(std::move(failure));
  co_return Next::Done(reusable);
}

asio::awaitable<RequestExchange::Next> RequestExchange::RelayWhole(const AttemptPlan& plan,
                                                                   AnswerHead head) {
  std::string body;
  const CallStatus status = co_await ReadWhole(body);
  call_->Cancel();
  if (status != CallStatus::kOk) {
    Report(plan, OutcomeOf(status), "answer incomplete");
    co_return co_await RetryOrFail(PlanReason::kFailed, ResultCode::kAnswerIncomplete);
  }
  Report(plan, AttemptOutcome::kGood, fmt::format("status {}", head.status));
  if (caller_closed_) co_return Next::Again(PlanReason::kFailed);
  ++services_.counters.answered;
  services_.counters.AddLatency(services_.clock.Now() - request_->arrived);
  LogEnd(Event::kRequestAnswered, head.status, "");
  const bool head_only = request_->method == "HEAD";
  const bool sent = co_await writer_.SendWhole(std::move(head), std::move(body), head_only);
  co_return Next::Done(sent && writer_.keep_alive());
}

asio::awaitable<std::optional<AttemptPlan>> RequestExchange::PlanBetterModel(
    const AttemptPlan& plan, const AnswerHead& head) {
  const Route& route = *progress_.route;
  if (!request_->traits.chooses_model || runs_ >= route.max_attempts) co_return std::nullopt;
  const auto better = services_.ladder.Next(route, plan.model, head.confidence);
  if (!better) co_return std::nullopt;
  PlanAnswer answer = co_await AskPlan(PlanReason::kNextModel, *better, *head.confidence);
  std::optional<AttemptPlan> planned = std::move(answer.plan);
  co_return planned;
}

asio::awaitable<RequestExchange::Next> RequestExchange::RelayStream(const AttemptPlan& plan,
                                                                    AnswerHead head) {
  if (!writer_.begun()) {
    std::optional<AttemptPlan> better = co_await PlanBetterModel(plan, head);
    if (better) {
      call_->Cancel();
      Report(plan, AttemptOutcome::kCancelled, fmt::format("confidence {}", *head.confidence));
      co_return Next::With(std::move(*better));
    }
    services_.counters.AddLatency(services_.clock.Now() - request_->arrived);
    const bool sent = co_await writer_.Begin(std::move(head));
    if (!sent) OnCallerClosed();
  }
  const CallStatus status = co_await RelayEvents();
  co_return co_await EndStream(plan, status);
}

asio::awaitable<CallStatus> RequestExchange::RelayEvents() {
  events_.DropPartial();
  while (true) {
    const Duration left = Left();
    if (left <= Duration::zero()) co_return CallStatus::kSilent;
    const Duration patience = PauseWait(timing_, *progress_.route, left, !CanRepeat());
    const CallStatus waited = co_await AwaitBytes(patience);
    if (waited != CallStatus::kOk) co_return waited;
    const auto wait = AtLeastOneMs(Left());
    const CallPiece piece = co_await call_->Read(wait);
    events_.Append(piece.bytes);
    const std::uint64_t before = events_.taken();
    std::string events = events_.Take();
    pace_.Add(events_.taken() - before, services_.clock.Now());
    bool sent = true;
    if (!events.empty()) {
      sent = co_await writer_.Write(std::move(events));
    }
    if (!sent) {
      OnCallerClosed();
      co_return CallStatus::kCancelled;
    }
    if (piece.status == CallStatus::kEnd && events_.HasPartial()) co_return CallStatus::kBroken;
    if (piece.status != CallStatus::kOk) co_return piece.status;
  }
}

asio::awaitable<RequestExchange::Next> RequestExchange::EndStream(const AttemptPlan& plan,
                                                                  CallStatus status) {
  call_->Cancel();
  if (status == CallStatus::kEnd) {
    Report(plan, AttemptOutcome::kGood, "stream complete");
    ++services_.counters.answered;
    LogEnd(Event::kRequestAnswered, 200, "stream");
    const bool sent = co_await writer_.End();
    co_return Next::Done(sent && writer_.keep_alive());
  }
  ++services_.counters.resumes;
  if (planned_) co_return TakePlanned(plan, "stream silent");
  Report(plan, caller_closed_ ? AttemptOutcome::kCancelled : OutcomeOf(status), "stream broke off");
  co_return co_await RetryOrFail(PlanReason::kResume, ResultCode::kAnswerIncomplete);
}

}  // namespace bamboodock
