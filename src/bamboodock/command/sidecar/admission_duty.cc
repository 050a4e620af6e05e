#include "bamboodock/command/sidecar/admission_duty.h"

#include <spdlog/fmt/fmt.h>

#include <algorithm>
#include <utility>

#include "bamboodock/policy/permission.h"

namespace bamboodock {
namespace {

constexpr std::chrono::milliseconds kTickInterval{250};
constexpr std::chrono::milliseconds kRefusalRetryDelay{200};

PermissionQuery PermissionQueryFor(const AttemptStartMessage& message, const EndpointId& endpoint) {
  PermissionQuery query;
  query.account = message.account;
  query.endpoint = endpoint;
  query.model = message.model;
  query.version = message.version;
  query.service = message.service;
  // The entry decides whether a session is new, because it checks the signed pin.
  query.continues_session = true;
  return query;
}

}  // namespace

AdmissionDuty::AdmissionDuty(const Parts& parts)
    : parts_(parts),
      registry_(parts.incarnation, config::kRegistryCapacity, config::kAttemptMargin) {
  PublishSnapshot();
}

bool AdmissionDuty::WaitIdle(MonotonicTime deadline) const {
  return snapshot_.WaitUntil(
      deadline, [](const AdmissionSnapshot& s) { return s.leaving && s.in_flight.value() == 0; });
}

void AdmissionDuty::Handle(AdmissionCommand& command) {
  std::visit([this](auto& c) { Apply(c); }, command);
  PublishSnapshot();
}

MonotonicTime AdmissionDuty::Tick() {
  const auto now = std::chrono::steady_clock::now();
  registry_.Expire(now);
  while (!answer_log_expiry_.empty() && answer_log_expiry_.begin()->first < now) {
    answer_logs_.erase(answer_log_expiry_.begin()->second);
    answer_log_expiry_.erase(answer_log_expiry_.begin());
  }
  ApplyEndpointLimits();
  FailSilentEngines(now);
  PublishSnapshot();
  return now + kTickInterval;
}

void AdmissionDuty::Apply(StartCommand& command) {
  AttemptStart start;
  start.attempt = command.message.attempt;
  start.incarnation = command.message.incarnation;
  start.deadline = command.message.deadline;
  const AttemptDecision decision = registry_.Start(start, std::chrono::steady_clock::now());
  if (decision.verdict != AttemptVerdict::kStart) {
    AnswerWithoutStarting(command, decision);
    return;
  }
  if (const std::optional<Failure> failure = CheckAdmission(command.message)) {
    registry_.Withdraw(start.attempt, failure->code);
    Refuse(command, *failure);
    return;
  }
  Admit(command);
}

void AdmissionDuty::Apply(ResumeCommand& command) {
  const auto found = answer_logs_.find(command.message.attempt);
  if (found != answer_logs_.end()) {
    command.sender->Post(SendCommand{found->second, command.message.next});
    return;
  }
  const AttemptDecision decision = registry_.Lookup(command.message.attempt);
  SendRefusal(
      command.sender, command.message.attempt,
      Failure{decision.code == ResultCode::kOk ? ResultCode::kAttemptUnknown : decision.code,
              "the sidecar holds no answer for the attempt", decision.run});
}

void AdmissionDuty::Apply(CancelCommand& command) {
  const auto found = open_attempts_.find(command.attempt);
  if (found == open_attempts_.end()) return;
  found->second->Cancel();
  parts_.timeline.Record(Event::kAttemptCancelled, RequestId(), command.attempt.value());
}

void AdmissionDuty::Apply(WithdrawCommand& command) {
  registry_.Withdraw(command.attempt, command.failure.code);
  const auto found = open_attempts_.find(command.attempt);
  if (found == open_attempts_.end()) return;
  RefusedMessage refused{command.failure, parts_.config.snapshot()->epoch()};
  found->second->Finish(EncodeMessage(SidecarMessage(std::move(refused))));
  open_attempts_.erase(found);
  ramp_->OnCancelled();
  parts_.ledger.CancelReservation();
}

void AdmissionDuty::Apply(AnswerReplayedCommand& command) {
  registry_.Finish(command.attempt);
  if (open_attempts_.erase(command.attempt) == 0) return;
  ramp_->OnCancelled();
  parts_.ledger.CancelReservation();
}

void AdmissionDuty::Apply(EndpointCallOutcome& outcome) {
  registry_.Finish(outcome.attempt);
  if (open_attempts_.erase(outcome.attempt) == 0) return;
  // A cold endpoint under little load answers in time, which does not show that it is warm.
  const bool reported_cold = report_.reachable && !report_.warm;
  if (outcome.cancelled || (outcome.ok && reported_cold)) {
    ramp_->OnCancelled();
  } else {
    ramp_->OnFinished(outcome.first_token, outcome.ok);
  }
  if (!outcome.cancelled) first_token_.Add(outcome.first_token);
  if (outcome.version.empty() || outcome.cancelled) return;
  EvidenceCounters& evidence = EvidenceFor(outcome.model, outcome.version);
  ++evidence.answers;
  if (!outcome.ok) ++evidence.errors;
  if (outcome.first_token > config::kFirstTokenTarget) ++evidence.slow;
}

void AdmissionDuty::Apply(LoadReportCommand& command) {
  const bool cold = !command.reachable || !command.warm;
  const bool turned_cold = report_.warm && cold;
  report_ = command;
  // Every cold report resets the limit of the ramp, because attempts open at that time do not show
  // that the endpoint is warm.
  if (cold && ramp_) ramp_->OnTurnedCold();
  if (turned_cold) {
    parts_.timeline.Record(Event::kEndpointCold, RequestId(), parts_.endpoint.value());
  }
}

void AdmissionDuty::Apply(LeaveCommand& /*command*/) { leaving_ = true; }

std::optional<Failure> AdmissionDuty::CheckAdmission(const AttemptStartMessage& message) const {
  const Ref<const ConfigSnapshot> config = parts_.config.snapshot();
  if (leaving_) return Failure{ResultCode::kEndpointLeaving, "the sidecar is shutting down"};
  if (config->set() == nullptr || !ramp_) {
    return Failure{ResultCode::kNoConfiguration,
                   "the sidecar has no configuration for its endpoint"};
  }
  if (message.epoch > config->epoch()) {
    return Failure{ResultCode::kStaleEpoch,
                   "the sidecar's configuration is older than the entry's"};
  }
  if (!config->IsFresh(std::chrono::steady_clock::now())) {
    return Failure{ResultCode::kNotFresh,
                   "the sidecar's configuration is not confirmed as the newest"};
  }
  const PermissionQuery query = PermissionQueryFor(message, parts_.endpoint);
  std::optional<Failure> failure = CheckPermission(*config->set(), query);
  for (const PublishedSet& pending : config->pending()) {
    if (!failure) failure = CheckPermission(*pending.set, query);
  }
  return failure;
}

void AdmissionDuty::Admit(StartCommand& command) {
  const AttemptId attempt = command.message.attempt;
  const auto refuse = [&](ResultCode code, const char* detail) {
    registry_.Withdraw(attempt, code);
    Refuse(command, Failure{code, detail, RunState::kNotRun, kRefusalRetryDelay});
  };
  if (!ramp_->TryAdmit()) {
    return refuse(ResultCode::kEndpointAtLimit, "the endpoint is at its concurrency limit");
  }
  if (!parts_.ledger.TryReserve()) {
    ramp_->OnCancelled();
    return refuse(ResultCode::kLedgerFull,
                  "the sidecar's ledger is full of unconfirmed billing records");
  }
  AdmittedAttempt admitted;
  admitted.log = MakeRef<AnswerLog>(attempt);
  admitted.needs_claim = !command.message.repeatable;
  const Ref<const ConfigSnapshot> config = parts_.config.snapshot();
  const Version* version = config->set()->Find(command.message.model, command.message.version);
  if (version != nullptr) admitted.version = *version;
  admitted.start = command.message;

  const Ref<AnswerLog> log = admitted.log;
  AttemptQueue& queue = admitted.needs_claim ? parts_.claims : parts_.runners;
  if (!queue.TryPush(std::move(admitted))) {
    ramp_->OnCancelled();
    parts_.ledger.CancelReservation();
    return refuse(ResultCode::kRingFull, "the sidecar's queue of admitted attempts is full");
  }
  ++admitted_;
  open_attempts_[attempt] = log;
  answer_logs_[attempt] = log;
  answer_log_expiry_.emplace(command.message.deadline + config::kAttemptMargin, attempt);
  command.sender->Post(SendCommand{log, SequenceNumber(0)});
  parts_.timeline.Record(
      Event::kAttemptAdmitted, command.message.request,
      fmt::format("attempt={} endpoint={}", attempt.value(), parts_.endpoint.value()));
}

void AdmissionDuty::Refuse(const StartCommand& command, const Failure& failure) {
  ++refused_;
  parts_.timeline.Record(
      Event::kAttemptRefused, command.message.request,
      fmt::format("attempt={} code={}", command.message.attempt.value(), Name(failure.code)));
  SendRefusal(command.sender, command.message.attempt, failure);
}

void AdmissionDuty::AnswerWithoutStarting(const StartCommand& command,
                                          const AttemptDecision& decision) {
  const auto found = answer_logs_.find(command.message.attempt);
  const bool resumable = decision.verdict == AttemptVerdict::kAlreadyRunning ||
                         decision.verdict == AttemptVerdict::kFinished;
  if (resumable && found != answer_logs_.end()) {
    command.sender->Post(SendCommand{found->second, SequenceNumber(0)});
    return;
  }
  if (decision.verdict == AttemptVerdict::kLateCopy) {
    parts_.timeline.Record(Event::kLateCopyRejected, command.message.request,
                           command.message.attempt.value());
  }
  Refuse(command,
         Failure{decision.code, "the attempt registry refused to start the attempt", decision.run});
}

void AdmissionDuty::SendRefusal(const Ref<SenderDuty>& sender, const AttemptId& attempt,
                                Failure failure) {
  auto log = MakeRef<AnswerLog>(attempt);
  RefusedMessage refused{std::move(failure), parts_.config.snapshot()->epoch()};
  log->Finish(EncodeMessage(SidecarMessage(std::move(refused))));
  sender->Post(SendCommand{log, SequenceNumber(0)});
}

void AdmissionDuty::FailSilentEngines(MonotonicTime now) {
  for (const auto& [attempt, log] : open_attempts_) {
    if (log->finished() || now - log->last_append() < config::kEngineSilenceTimeout) continue;
    parts_.timeline.Record(Event::kEngineSilent, RequestId(), attempt.value());
    log->Cancel();
    const Failure failure{ResultCode::kConnectionSilent,
                          "the endpoint sent nothing within the engine silence timeout",
                          RunState::kUnknown};
    log->Finish(EncodeMessage(SidecarMessage(RefusedMessage{failure, Epoch()})));
  }
}

EvidenceCounters& AdmissionDuty::EvidenceFor(const ModelId& model, const VersionId& version) {
  VersionCounters& evidence = evidence_[{model, version}];
  evidence.model = model;
  evidence.version = version;
  return evidence.counters;
}

void AdmissionDuty::ApplyEndpointLimits() {
  const Ref<const ConfigSnapshot> config = parts_.config.snapshot();
  if (config->set() == nullptr) return;
  const Endpoint* endpoint = config->set()->Find(parts_.endpoint);
  if (endpoint == nullptr) return;
  if (ramp_ && (!open_attempts_.empty() ||
                (cold_limit_ == endpoint->cold_limit && warm_limit_ == endpoint->warm_limit))) {
    return;
  }
  // New limits take effect only while no attempt is open, because the ramp counts open attempts.
  cold_limit_ = endpoint->cold_limit;
  warm_limit_ = endpoint->warm_limit;
  ramp_.emplace(cold_limit_, warm_limit_, config::kFirstTokenTarget);
}

void AdmissionDuty::PublishSnapshot() {
  auto snapshot = MakeRef<AdmissionSnapshot>();
  if (ramp_) {
    snapshot->in_flight = ramp_->in_flight();
    snapshot->limit = ramp_->limit();
  }
  snapshot->warm = report_.warm;
  snapshot->leaving = leaving_;
  snapshot->reported_load = report_.load;
  snapshot->report_age = report_.age;
  for (const auto& [key, counters] : evidence_) snapshot->evidence.push_back(counters);
  snapshot->admitted = admitted_;
  snapshot->refused = refused_;
  snapshot->first_token = first_token_;
  snapshot_.Store(snapshot);
}

}  // namespace bamboodock
