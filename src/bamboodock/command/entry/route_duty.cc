#include "bamboodock/command/entry/route_duty.h"

#include <algorithm>
#include <utility>

#include "bamboodock/policy/endpoint_strategy.h"
#include "bamboodock/policy/overload_level.h"
#include "bamboodock/policy/version_strategy.h"

namespace bamboodock {
namespace {

constexpr std::chrono::milliseconds kTickInterval{250};
/// An endpoint whose last report is older than this receives no new requests.
constexpr std::chrono::milliseconds kMaxReportAge{4000};
constexpr std::chrono::milliseconds kRetryAfter{1000};
constexpr Ratio kRetryShare{0.1};
constexpr double kRetryReserve = 20;
constexpr Ratio kZoneInitialShare{0.1};
constexpr std::chrono::seconds kZoneRampDuration{60};
/// Size of a typical request; used to estimate the cost of a step.
constexpr Tokens kTypicalPrompt{800};
constexpr Tokens kTypicalCompletion{200};
/// The newest sample has the weight 1/8 in the smoothed latency of a version.
constexpr int kLatencyWeight = 8;

PermissionQuery PermissionQueryFor(const RoutingCriteria& criteria, const CascadeStep& step) {
  PermissionQuery query;
  query.account = criteria.account;
  query.service = criteria.service;
  query.model = step.model;
  query.version = step.version;
  query.continues_session = criteria.pinned.has_value();
  return query;
}

bool SameStep(const CascadeStep& a, const CascadeStep& b) {
  return a.model == b.model && a.version == b.version;
}

/// Splits "model@version"; the version is empty when none is named.
CascadeStep ParseTarget(const std::string& target) {
  const std::size_t at = target.find('@');
  if (at == std::string::npos) return {ModelId(target), VersionId()};
  return {ModelId(target.substr(0, at)), VersionId(target.substr(at + 1))};
}

}  // namespace

RouteDuty::RouteDuty(const Parts& parts)
    : parts_(parts),
      random_(parts.seed),
      retry_budget_(kRetryShare, kRetryReserve),
      endpoint_chooser_(MakeEndpointChooser()),
      version_chooser_(MakeVersionChooser()) {
  PublishSnapshot();
}

void RouteDuty::Handle(RouteCommand& command) {
  std::visit([this](auto& c) { Apply(c); }, command);
}

MonotonicTime RouteDuty::Tick() {
  UpdateZoneRamps(*parts_.config.snapshot());
  PublishSnapshot();
  return std::chrono::steady_clock::now() + kTickInterval;
}

void RouteDuty::Apply(AdmitCommand& command) {
  const auto now = std::chrono::steady_clock::now();
  const ClientAccount* account = command.set->Find(command.account);
  std::optional<Failure> failure;
  if (account == nullptr) {
    failure = Failure{ResultCode::kUnauthorized, "the client account is not in the object set"};
  } else {
    const AccountVerdict verdict = limiter_.Admit(*account, now);
    if (verdict != AccountVerdict::kAdmitted) {
      const bool rate = verdict == AccountVerdict::kRateLimit;
      failure =
          Failure{rate ? ResultCode::kAccountRateLimit : ResultCode::kAccountConcurrencyLimit,
                  "the client account has reached its limit", RunState::kNotRun,
                  std::chrono::ceil<std::chrono::milliseconds>(limiter_.RetryAfter(*account, now))};
    }
  }
  if (!failure) {
    ++totals_.requests;
    ++totals_.open_requests;
    retry_budget_.OnRequest();
  }
  command.reply->TryPush(failure);
}

void RouteDuty::Apply(PlanCommand& command) {
  PlanReply reply = MakePlan(command);
  if (reply.plan) {
    EndpointState& state = endpoints_[reply.plan->endpoint];
    state.in_flight = state.in_flight.Next();
    state.sent_since_report = state.sent_since_report.Next();
  }
  command.reply->TryPush(std::move(reply));
}

void RouteDuty::Apply(AttemptEndedCommand& command) {
  EndpointState& state = endpoints_[command.endpoint];
  if (state.in_flight.value() > 0) state.in_flight -= Concurrency(1);
  if (!command.ok || command.version.empty()) return;
  Duration& latency = versions_[{command.model, command.version}].latency;
  latency += (command.total - latency) / kLatencyWeight;
}

void RouteDuty::Apply(AnswerCheckedCommand& command) {
  quality_.AddCheckResult({command.version, command.kind, command.escalated}, command.accepted,
                          std::chrono::steady_clock::now());
}

void RouteDuty::Apply(RequestEndedCommand& command) {
  limiter_.Release(command.account);
  if (totals_.open_requests > 0) --totals_.open_requests;
  if (!command.ok) {
    ++totals_.failed;
    return;
  }
  totals_.cost += command.cost;
  totals_.first_byte.Add(command.first_byte);
  totals_.total.Add(command.total);
}

void RouteDuty::Apply(SyncReportCommand& command) {
  EndpointState& state = endpoints_[command.report.endpoint];
  for (const VersionCounters& reported : command.report.evidence) {
    const VersionKey key{reported.model, reported.version};
    VersionState& version = versions_[key];
    version.evidence.Merge(command.report.incarnation, reported.counters);
    EvaluateEvidence(key, version);
  }
  state.report = std::move(command.report);
  state.sent_since_report = Concurrency(0);
  state.received = command.received;
  state.has_report = true;
}

PlanReply RouteDuty::MakePlan(const PlanCommand& command) {
  const Ref<const ConfigSnapshot> config = parts_.config.snapshot();
  if (command.is_retry && !retry_budget_.TryRetry()) {
    return {
        std::nullopt,
        {ResultCode::kRetryBudgetSpent, "the retry budget is spent: too many attempts are failing",
         RunState::kNotRun, kRetryAfter}};
  }
  if (command.is_retry) ++totals_.retries;
  return HandleFailure(
      [&]() -> Result<PlanReply> {
        PlanReply reply;
        Plan plan;
        CascadeStep step;
        if (command.criteria.service.empty()) {
          BOOST_LEAF_AUTO(steps, CandidateSteps(*config, command.criteria));
          const std::optional<CascadeStep> chosen = ChooseStep(*config, command, steps, plan);
          if (!chosen) {
            return Raise(Failure{ResultCode::kNoEndpoint,
                                 "no step of the cascade can run with the endpoints now available",
                                 RunState::kNotRun, kRetryAfter});
          }
          step = *chosen;
        }
        const PermissionQuery query = PermissionQueryFor(command.criteria, step);
        if (const auto failure = PermissionFailure(*config, query, false)) return Raise(*failure);
        const Endpoint* endpoint =
            ChooseEndpoint(EligibleEndpoints(*config, query, command.excluded), command.criteria);
        if (endpoint == nullptr) {
          return Raise(Failure{ResultCode::kNoEndpoint,
                               "no endpoint is eligible for the request now", RunState::kNotRun,
                               kRetryAfter});
        }
        plan.endpoint = endpoint->id;
        BOOST_LEAF_ASSIGN(plan.address, ParseAddress(endpoint->address));
        plan.model = step.model;
        plan.version = step.version;
        plan.epoch = config->epoch();
        plan.priority = config->set()->Find(command.criteria.account)->priority;
        reply.plan = plan;
        return reply;
      },
      [](const Failure& failure) {
        return PlanReply{std::nullopt, failure};
      });
}

Result<std::vector<CascadeStep>> RouteDuty::CandidateSteps(const ConfigSnapshot& config,
                                                           const RoutingCriteria& criteria) {
  if (criteria.pinned) return std::vector<CascadeStep>{*criteria.pinned};
  const ObjectSet& set = *config.set();
  if (const Cascade* cascade = set.Find(CascadeId(criteria.target))) return cascade->steps;
  const CascadeStep named = ParseTarget(criteria.target);
  if (!named.version.empty()) return std::vector<CascadeStep>{named};
  const Model* model = set.Find(named.model);
  if (model == nullptr) {
    return Raise(ResultCode::kUnknownModel,
                 "no model or cascade is named '" + criteria.target + "'");
  }
  BOOST_LEAF_AUTO(step, PickVersionByShare(config, criteria, *model));
  return std::vector<CascadeStep>{step};
}

Result<CascadeStep> RouteDuty::PickVersionByShare(const ConfigSnapshot& config,
                                                  const RoutingCriteria& criteria,
                                                  const Model& model) {
  std::vector<VersionShare> candidates;
  double share_sum = 0;
  std::optional<Failure> reason;
  for (const VersionShare& share : model.shares) {
    const CascadeStep step{model.id, share.version};
    reason = PermissionFailure(config, PermissionQueryFor(criteria, step), false);
    if (reason || versions_[{model.id, share.version}].stopped) continue;
    candidates.push_back(share);
    share_sum += share.share.value();
  }
  if (candidates.empty()) {
    return Raise(reason.value_or(
        Failure{ResultCode::kVersionWithdrawn, "no version of the model accepts new sessions"}));
  }
  double draw = random_.Uniform() * share_sum;
  for (const VersionShare& share : candidates) {
    draw -= share.share.value();
    if (draw < 0) return CascadeStep{model.id, share.version};
  }
  return CascadeStep{model.id, candidates.back().version};
}

std::optional<CascadeStep> RouteDuty::ChooseStep(const ConfigSnapshot& config,
                                                 const PlanCommand& command,
                                                 const std::vector<CascadeStep>& steps,
                                                 Plan& plan) {
  const Cascade* cascade = config.set()->Find(CascadeId(command.criteria.target));
  if (steps.size() == 1 || cascade == nullptr) {
    return command.rejected.empty() ? std::optional(steps.front()) : std::nullopt;
  }
  const auto now = std::chrono::steady_clock::now();
  std::vector<StepOption> options;
  std::vector<CascadeStep> runnable;
  VersionQuery query;
  for (const CascadeStep& step : steps) {
    const PermissionQuery permission = PermissionQueryFor(command.criteria, step);
    if (PermissionFailure(config, permission, false)) continue;
    if (versions_[{step.model, step.version}].stopped) continue;
    const bool was_rejected =
        std::any_of(command.rejected.begin(), command.rejected.end(),
                    [&](const CascadeStep& rejected) { return SameStep(rejected, step); });
    if (!was_rejected && EligibleEndpoints(config, permission, command.excluded).empty()) continue;
    const Version& version = *config.set()->Find(step.model, step.version);
    const QualityKey key{step.version, command.criteria.kind, false};
    const QualityKey escalated{step.version, command.criteria.kind, true};
    const Ratio prior = version.QualityFor(command.criteria.kind.value());
    quality_.SetPrior(key, prior);
    quality_.SetPrior(escalated, prior);
    StepOption option;
    option.version = step.version;
    option.expected_cost = version.Cost(kTypicalPrompt, kTypicalCompletion);
    option.expected_latency = versions_[{step.model, step.version}].latency;
    option.quality = quality_.QualityOf(key, now);
    option.quality_escalated = quality_.QualityOf(escalated, now);
    option.acceptance = quality_.Acceptance(key, now);
    if (was_rejected) query.rejected = options.size();
    options.push_back(option);
    runnable.push_back(step);
  }
  query.kind = command.criteria.kind;
  query.steps = options;
  query.steps_taken = StepNumber(static_cast<std::uint32_t>(command.rejected.size()));
  query.max_steps = cascade->max_steps;
  query.quality_target = cascade->quality_target;
  query.remaining = command.deadline - now;
  query.overload = CurrentOverload(config);
  const std::optional<std::size_t> chosen = version_chooser_->Next(query, random_);
  if (!chosen) return std::nullopt;
  const std::uint32_t taken = query.steps_taken.value() + 1;
  plan.may_escalate = *chosen + 1 < options.size() && taken < cascade->max_steps.value();
  plan.accept_confidence = cascade->accept_confidence;
  return runnable[*chosen];
}

std::optional<Failure> RouteDuty::PermissionFailure(const ConfigSnapshot& config,
                                                    const PermissionQuery& query,
                                                    bool with_endpoint) const {
  const auto check = with_endpoint ? &CheckPermission : &CheckVersion;
  std::optional<Failure> failure = check(*config.set(), query);
  for (const PublishedSet& pending : config.pending()) {
    if (!failure) failure = check(*pending.set, query);
  }
  return failure;
}

std::vector<const Endpoint*> RouteDuty::EligibleEndpoints(
    const ConfigSnapshot& config, const PermissionQuery& permission,
    const std::set<EndpointId>& excluded) const {
  const auto now = std::chrono::steady_clock::now();
  std::vector<const Endpoint*> eligible;
  PermissionQuery query = permission;
  for (const Endpoint& endpoint : config.set()->endpoints()) {
    if (excluded.contains(endpoint.id)) continue;
    const auto state = endpoints_.find(endpoint.id);
    // An endpoint that has never reported is skipped: its sidecar may not have started.
    if (state == endpoints_.end() || !state->second.has_report) continue;
    if (state->second.report.leaving || now - state->second.received > kMaxReportAge) continue;
    query.endpoint = endpoint.id;
    if (!PermissionFailure(config, query, true)) eligible.push_back(&endpoint);
  }
  return eligible;
}

const Endpoint* RouteDuty::ChooseEndpoint(const std::vector<const Endpoint*>& eligible,
                                          const RoutingCriteria& criteria) {
  std::vector<EndpointView> views;
  views.reserve(eligible.size());
  for (const Endpoint* endpoint : eligible) views.push_back(MakeView(*endpoint));
  const EndpointQuery query{criteria.affinity, parts_.local_zone};
  const std::optional<std::size_t> chosen = endpoint_chooser_->Choose(views, query, random_);
  return chosen ? eligible[*chosen] : nullptr;
}

EndpointView RouteDuty::MakeView(const Endpoint& endpoint) const {
  EndpointView view;
  view.id = endpoint.id;
  view.availability_zone = endpoint.availability_zone;
  view.limit = endpoint.cold_limit;
  const auto zone = zones_.find(endpoint.availability_zone);
  if (zone != zones_.end()) view.zone_share = zone->second.Share(std::chrono::steady_clock::now());
  const auto found = endpoints_.find(endpoint.id);
  if (found == endpoints_.end()) return view;
  const EndpointState& state = found->second;
  view.in_flight = state.in_flight;
  if (!state.has_report) return view;
  view.reported_load = state.report.in_flight;
  view.sent_since_report = state.sent_since_report;
  view.report_age = std::chrono::steady_clock::now() - state.received;
  view.limit = state.report.limit;
  view.warm = state.report.warm;
  return view;
}

OverloadLevel RouteDuty::CurrentOverload(const ConfigSnapshot& config) const {
  double in_flight_sum = 0;
  double capacity = 0;
  for (const Endpoint& endpoint : config.set()->endpoints()) {
    const auto found = endpoints_.find(endpoint.id);
    if (found == endpoints_.end() || endpoint.kind != EndpointKind::kEngine) continue;
    in_flight_sum += found->second.report.in_flight.value();
    capacity += found->second.report.limit.value();
  }
  return OverloadLevelFor(Ratio(capacity > 0 ? in_flight_sum / capacity : 0));
}

void RouteDuty::EvaluateEvidence(const VersionKey& key, VersionState& state) {
  const std::optional<EvidenceSignal> signal = state.guard.Observe(state.evidence.total());
  if (!signal || state.stopped) return;
  const Ref<const ConfigSnapshot> config = parts_.config.snapshot();
  const Version* version =
      config->set() != nullptr ? config->set()->Find(key.first, key.second) : nullptr;
  if (version == nullptr || version->stage == VersionStage::kWithdrawn) return;
  state.stopped = true;
  parts_.timeline.Record(Event::kVersionStopped, RequestId(),
                         key.first.value() + "@" + key.second.value() +
                             " signal=" + std::to_string(static_cast<int>(*signal)));
  parts_.stop_listener.OnVersionStopped(key.first, key.second);
}

void RouteDuty::UpdateZoneRamps(const ConfigSnapshot& config) {
  if (config.set() == nullptr || config.epoch() == zones_epoch_) return;
  zones_epoch_ = config.epoch();
  for (const AvailabilityZone& zone : config.set()->availability_zones()) {
    ZoneRamp& ramp =
        zones_.try_emplace(zone.id, kZoneInitialShare, kZoneRampDuration).first->second;
    if (zone.drained) {
      ramp.MarkUnavailable();
    } else {
      ramp.MarkAvailable(std::chrono::steady_clock::now());
    }
  }
}

void RouteDuty::PublishSnapshot() {
  auto snapshot = MakeRef<RouteSnapshot>(totals_);
  const Ref<const ConfigSnapshot> config = parts_.config.snapshot();
  const auto now = std::chrono::steady_clock::now();
  for (const auto& [id, state] : endpoints_) {
    EndpointReport report;
    report.endpoint = id;
    const Endpoint* endpoint = config->set() != nullptr ? config->set()->Find(id) : nullptr;
    if (endpoint != nullptr) report.availability_zone = endpoint->availability_zone;
    report.report = state.report;
    report.in_flight = state.in_flight;
    report.has_report = state.has_report;
    report.age = state.has_report ? now - state.received : Duration::zero();
    snapshot->endpoints.push_back(std::move(report));
  }
  snapshot_.Store(snapshot);
}

}  // namespace bamboodock
