#include "bamboodock/command/router/route_state.h"

#include <fmt/format.h>

#include <algorithm>
#include <utility>

#include "bamboodock/command/router/routing_hash.h"
#include "bamboodock/policy/repeat_rule.h"
#include "bamboodock/routing/request_deadline.h"

namespace bamboodock {
namespace {

/// Delays sent to the caller in Retry-After, by reason of the refusal.
constexpr std::chrono::milliseconds kRetryNoConfig{400};
constexpr std::chrono::milliseconds kRetryNotFresh{600};
constexpr std::chrono::milliseconds kRetryNoEndpoint{250};
constexpr std::chrono::milliseconds kRetryBudget{300};

/// Unknown routes and keys are reported as such only if the configuration is younger than this.
constexpr std::chrono::milliseconds kMaxAgeForNotFound{2500};

/// An entry counts as ended, with no open requests, after this long without a report.
constexpr std::chrono::milliseconds kPeerTimeout{4000};

/// Shared prompt tokens from which prompt-cache affinity outweighs keeping the request in its zone.
constexpr Tokens kAffinityTokens{400};

/// Weighted recent failures from which an endpoint is suspect.
constexpr double kSuspectWeight = 0.4;

/// Limit of endpoints with pending work in a report, so that it fits into one datagram.
constexpr std::size_t kMaxPendingEndpoints = 24;
/// The same for endpoints with their slowdown.
constexpr std::size_t kMaxSharedSlowdowns = 12;
/// The same for sessions that are held back, over all services.
constexpr std::size_t kMaxHeldBack = 60;

/// Share of the requests for which a model is asked although its assumed time is too long. Without
/// them a model that has become faster would never be observed again.
constexpr Ratio kProbeShare{1.0 / 16};

/// Hash of the last prompt part that other requests share; 0 when there is none.
std::uint64_t AffinityKey(const RequestMetadata& metadata) {
  const auto& parts = metadata.prompt_parts;
  if (parts.size() < 2) return 0;
  return RoutingHash(parts[parts.size() - 2].id.value()) | 1U;
}

/// Part of the work that is due to the shared tokens of the prompt.
Tokens SharedWork(Tokens work, Tokens shared, Tokens prompt) {
  if (shared >= prompt) return work;
  const double share = static_cast<double>(shared.value()) / static_cast<double>(prompt.value());
  return Tokens(static_cast<std::uint64_t>(share * static_cast<double>(work.value())));
}

/// Tokens of the prompt parts that other requests share: all but the last part.
Tokens SharedTokens(const RequestMetadata& metadata) {
  Tokens shared;
  const auto& parts = metadata.prompt_parts;
  for (std::size_t i = 0; i + 1 < parts.size(); ++i) shared += parts[i].tokens;
  return shared;
}

RouteHash HashRoute(const RouteId& route) {
  return RouteHash(static_cast<std::uint32_t>(RoutingHash(route.value())));
}

/// Position of the model among those of the route; empty when it is not one of them.
std::optional<std::size_t> PositionOf(const Route& route, const ModelId& model) {
  const auto found = std::find(route.models.begin(), route.models.end(), model);
  if (found == route.models.end()) return std::nullopt;
  return static_cast<std::size_t>(found - route.models.begin());
}

/// Zero when the service states none.
double PriceOf(const RoutedService& service, const ModelId& model) {
  const auto found = std::find_if(service.models.begin(), service.models.end(),
                                  [&](const auto& priced) { return priced.id == model; });
  return found == service.models.end() ? 0 : found->price;
}

Duration RetryAfter(ResultCode code) {
  switch (code) {
    case ResultCode::kNoConfiguration:
      return kRetryNoConfig;
    case ResultCode::kNotFresh:
      return kRetryNotFresh;
    case ResultCode::kRetryBudgetSpent:
      return kRetryBudget;
    default:
      return kRetryNoEndpoint;
  }
}

/// @param versions Must outlive the result.
std::function<bool(const VersionId&)> IsOneOf(const std::vector<VersionId>& versions) {
  return [&versions](const VersionId& version) {
    return std::find(versions.begin(), versions.end(), version) != versions.end();
  };
}

/// Maps the priority of a request to the ten levels of the engine, of which 0 is the most urgent.
std::uint32_t EnginePriority(Priority priority) { return std::min(priority.value() * 2 + 1, 9U); }

}  // namespace

RouteState::RouteState(RouterIdentity identity, const RouterLimits& limits, const Clock& clock,
                       Random random, EventLog& log)
    : identity_(std::move(identity)),
      limits_(limits),
      clock_(clock),
      random_(random),
      log_(log),
      pool_(identity_.host, identity_.availability_zone, limits.cold_overrun,
            limits.cold_tolerance),
      rollouts_(limits.exposure, log),
      versions_(limits.session_timeout),
      peers_(identity_.host),
      models_(limits.least_confidence),
      prompts_(identity_.host, log) {}

Duration RouteState::ConfigAge() const { return clock_.Now() - config_covered_until_; }

MonotonicTime RouteState::ReadyUntil() const {
  if (table_ == nullptr || !endpoints_listed_ || !routers_listed_) return {};
  return config_covered_until_ + limits_.max_config_age;
}

bool RouteState::Ready() const { return clock_.Now() < ReadyUntil(); }

std::string RouteState::ConfigSummary() const {
  return fmt::format("config={} config_age_ms={} entries={}",
                     table_ ? table_->version().value() : 0, ToMillis(ConfigAge()),
                     peers_.EntryCount());
}

PlanAnswer RouteState::Refuse(const PlanQuery& query, ResultCode code, std::string detail) const {
  return Refuse(query, code, std::move(detail), RetryAfter(code));
}

PlanAnswer RouteState::Refuse(const PlanQuery& query, ResultCode code, std::string detail,
                              Duration retry_after) const {
  log_.Write(Event::kRequestRefusedByRouter, RequestId(query.request->metadata.attempt.value()),
             fmt::format("code={} reason={} why='{}' {}", Name(code), Name(query.reason), detail,
                         ConfigSummary()));
  const auto wait = std::chrono::duration_cast<std::chrono::milliseconds>(retry_after);
  return {std::nullopt, Failure{code, std::move(detail), RunState::kNotRun, wait}, nullptr,
          nullptr};
}

PlanAnswer RouteState::Plan(const PlanQuery& query) {
  if (table_ == nullptr) return Refuse(query, ResultCode::kNoConfiguration, "no configuration");
  RequestProgress progress = query.progress;
  PlanAnswer resolved = ResolveRequest(query, progress);
  resolved.route = progress.route;
  resolved.table = progress.table;
  if (resolved.refusal.code != ResultCode::kOk) return resolved;
  // Every attempt is planned here, so that no cause of a repeat can miss the rule.
  if (!IsAttemptAllowed(*progress.route, query.reason)) {
    return Refuse(query, ResultCode::kOutcomeUnknown,
                  "the request may have run and is not idempotent", Duration::zero());
  }
  const std::optional<ModelId> model = ChooseModel(query, progress);
  if (!model) {
    const EscalationConditions load = ConditionsOf(progress.service->id);
    const Duration left = RequestDeadline(*query.request, progress.route) - clock_.Now();
    return Refuse(
        query, ResultCode::kOverloaded,
        fmt::format("confidence of the smaller model suffices at this load and time left: "
                    "confidence={} pending_tokens={:.0f} budget_used={:.2f} left_ms={}",
                    query.confidence, load.pending_tokens, load.budget_used.value(),
                    ToMillis(left)));
  }
  if (const auto refusal = prompts_.Check(*query.request, pool_.ranking(), clock_.Now())) {
    PlanAnswer refused =
        Refuse(query, ResultCode::kPromptQuarantined, refusal->detail, refusal->retry_after);
    refused.route = progress.route;
    refused.table = progress.table;
    return refused;
  }
  return ChooseAttempt(query, *model, std::move(progress));
}

PlanAnswer RouteState::ResolveRequest(const PlanQuery& query, RequestProgress& progress) const {
  const CallerRequest& request = *query.request;
  const bool fresh = ConfigAge() < kMaxAgeForNotFound;
  if (progress.route == nullptr) {
    progress.table = table_;
    progress.route = table_->FindRoute(request.host, request.Path());
    if (progress.route == nullptr) {
      if (!fresh) return Refuse(query, ResultCode::kNotFresh, "no route in a stale configuration");
      return Refuse(query, ResultCode::kNotFound, "no route matches host and path");
    }
  }
  if (!progress.route->allows_anonymous && table_->RequiresKey()) {
    if (ConfigAge() >= limits_.max_config_age) {
      return Refuse(query, ResultCode::kNotFresh,
                    "configuration too old: API keys may have been revoked");
    }
    const RoutedAccount* account = table_->FindAccount(request.metadata.key);
    if (account == nullptr) {
      if (!fresh) return Refuse(query, ResultCode::kNotFresh, "API key not in stale configuration");
      return Refuse(query, ResultCode::kUnauthorized, "unknown API key");
    }
    progress.account = account->id;
  }
  if (progress.service == nullptr) progress.service = ChooseService(query, *progress.route);
  if (progress.service == nullptr) {
    return Refuse(query, ResultCode::kNoEndpoint, "service of the route is not configured");
  }
  return {std::nullopt, Failure{ResultCode::kOk, "", RunState::kNotRun, {}}, nullptr, nullptr};
}

const RoutedService* RouteState::ChooseService(const PlanQuery& query, const Route& route) const {
  double total = 0;
  for (const ServiceShare& share : route.services) total += share.weight;
  const RequestMetadata& metadata = query.request->metadata;
  const std::string& routing_key =
      metadata.session.empty() ? metadata.attempt.value() : metadata.session.value();
  double remaining = SampleFromHash(routing_key + route.id.value()) * total;
  for (const ServiceShare& share : route.services) {
    remaining -= share.weight;
    if (remaining < 0) return table_->FindService(share.service);
  }
  return table_->FindService(route.services.back().service);
}

EscalationConditions RouteState::ConditionsOf(const ServiceId& service) {
  const MonotonicTime now = clock_.Now();
  return {pool_.MeanPending(service, now), BudgetOf(service).UsedPart(now, peers_.EntryCount())};
}

bool RouteState::ShouldEscalate(const PlanQuery& query, const RequestProgress& progress) {
  const EscalationConditions conditions = ConditionsOf(progress.service->id);
  return query.confidence < models_.LeastConfidence(*progress.route, conditions);
}

std::vector<ModelCandidate> RouteState::Candidates(const PlanQuery& query,
                                                   const RequestProgress& progress) {
  const MonotonicTime now = clock_.Now();
  const RequestMetadata& metadata = query.request->metadata;
  const Duration left = RequestDeadline(*query.request, progress.route) - now;
  AnswerToExpect answer{
      progress.route->id, {}, metadata.max_output_tokens, metadata.expected_output_tokens};
  answer.models.reserve(progress.route->models.size());
  for (const ModelId& model : progress.route->models) {
    answer.models.push_back({model, PriceOf(*progress.service, model)});
  }
  const Ratio least = query.reason == PlanReason::kNextModel
                          ? ModelChoice::GoodProbability(query.confidence)
                          : ModelChoice::kEvenChance;
  const bool probes = random_.Uniform() < kProbeShare.value();
  std::vector<ModelCandidate> candidates;
  candidates.reserve(answer.models.size());
  for (std::size_t i = 0; i < answer.models.size(); ++i) {
    const auto expected = pace_.Expected(answer, i, now);
    const bool in_time = !expected || ModelChoice::IsInTime(expected->time, left, least);
    candidates.push_back({answer.models[i].price, in_time || (probes && expected->assumed)});
  }
  return candidates;
}

std::optional<ModelId> RouteState::ChooseModel(const PlanQuery& query,
                                               const RequestProgress& progress) {
  if (!query.request->metadata.any_model) return query.request->metadata.model;
  const Route& route = *progress.route;
  if (route.models.empty()) return ModelId();
  // A stream that has begun goes on with its model.
  if (query.reason == PlanReason::kResume && !query.model.empty()) return query.model;
  const bool escalates = query.reason == PlanReason::kNextModel;
  if (escalates && !ShouldEscalate(query, progress)) return std::nullopt;
  const bool single_run =
      route.max_attempts < 2 || !IsAttemptAllowed(route, PlanReason::kNextModel);
  if (single_run) return route.models.front();

  const std::vector<ModelCandidate> candidates = Candidates(query, progress);
  if (const auto failed = PositionOf(route, query.model); failed && candidates[*failed].in_time) {
    return query.model;
  }
  ModelChoice::Situation situation;
  situation.route = HashRoute(route.id);
  situation.previous = PositionOf(route, escalates ? progress.model : progress.insufficient);
  situation.attempts_left = route.max_attempts - std::min(route.max_attempts, progress.sent);
  const auto next = ModelChoice::Next(candidates, situation, acceptances_, clock_.Now());
  if (next) return route.models[*next];
  if (escalates) return std::nullopt;
  return route.models.front();
}

RepeatBudget& RouteState::BudgetOf(const ServiceId& service) {
  return budgets_.try_emplace(service, limits_.repeats).first->second;
}

PlanAnswer RouteState::RefuseWithoutEndpoint(const PlanQuery& query,
                                             const RequestProgress& progress,
                                             const EndpointRequirements& requirements) {
  const MonotonicTime now = clock_.Now();
  const std::string& service = progress.service->id.value();
  if (const auto available_at = pool_.FirstAvailableAt(requirements, now)) {
    return Refuse(query, ResultCode::kEndpointAtLimit,
                  fmt::format("endpoints limit their rate or have asked for a pause, service={} "
                              "rate_limited={}",
                              service, pool_.rate_limits().limited_count()),
                  std::max<Duration>(*available_at - now, kRetryNoEndpoint));
  }
  return Refuse(
      query, ResultCode::kNoEndpoint,
      fmt::format("no usable endpoint, service={} tried={}", service, progress.tried.size()));
}

PlanAnswer RouteState::ChooseAttempt(const PlanQuery& query, const ModelId& model,
                                     RequestProgress progress) {
  const MonotonicTime now = clock_.Now();
  const CallerRequest& request = *query.request;
  RepeatBudget& budget = BudgetOf(progress.service->id);
  const Tokens work = EstimateWork(request, *progress.service, model);
  const VersionSelector::Selection versions = versions_.Select(
      progress.service->id, request.metadata, {rollouts_, pool_, peers_.EntryCount(), now});
  EndpointRequirements requirements;
  requirements.service = progress.service;
  requirements.allows_version = IsOneOf(versions.preferred);
  requirements.tried = &progress.tried;
  requirements.shared = SharedTokens(request.metadata);
  requirements.work = work;
  requirements.shared_work = SharedWork(work, requirements.shared, request.metadata.prompt_tokens);
  requirements.memory =
      MemoryNeed(request.metadata.prompt_tokens, request.metadata.max_output_tokens);
  requirements.optional = query.reason == PlanReason::kNextModel;
  if (requirements.shared >= kAffinityTokens) requirements.affinity = AffinityKey(request.metadata);
  requirements.subset_share = versions.subset_share;
  PooledEndpoint* endpoint = pool_.Choose(requirements, random_, now);
  if (endpoint == nullptr && !versions.fallback.empty()) {
    requirements.allows_version = IsOneOf(versions.fallback);
    requirements.subset_share = Ratio(1);
    endpoint = pool_.Choose(requirements, random_, now);
  }
  if (endpoint == nullptr) {
    PlanAnswer refused = RefuseWithoutEndpoint(query, progress, requirements);
    refused.route = progress.route;
    refused.table = progress.table;
    return refused;
  }
  // A request waits for its first plan with several queries, of which only the last one counts.
  if (query.reason == PlanReason::kFirst) budget.OnRequest(now);
  const bool repeat = progress.sent > 0;
  if (repeat && !budget.TryRepeat(now, peers_.EntryCount())) {
    return Refuse(query, ResultCode::kRetryBudgetSpent, "retry budget of the service exhausted");
  }
  pool_.OnSend(*endpoint, work, requirements.memory, now);
  const RolloutOrder* order = rollouts_.Find(progress.service->id);
  const VersionId& version = endpoint->record.version;
  if (order != nullptr) rollouts_.OnSend(progress.service->id, version == order->target);
  const SessionId& session = request.metadata.session;
  if (query.reason == PlanReason::kFirst) {
    versions_.OnFirstAttempt(progress.service->id, session, version,
                             RequestDeadline(request, progress.route));
  } else {
    versions_.OnNextAttempt(progress.service->id, session, version);
  }

  AttemptPlan plan;
  plan.endpoint = endpoint->record.id;
  plan.address = endpoint->record.address;
  plan.started = endpoint->record.started;
  plan.version = version;
  plan.work = work;
  plan.repeat = repeat;
  plan.suspect = endpoint->answers.bad(now) > kSuspectWeight;
  if (request.metadata.any_model) plan.model = model;
  const RoutedAccount* account = table_->FindAccount(request.metadata.key);
  const bool has_account_priority = account != nullptr && account->priority.has_value();
  plan.engine_priority =
      EnginePriority(has_account_priority ? *account->priority : progress.route->priority);
  const bool requires_key = !progress.route->allows_anonymous && table_->RequiresKey();
  plan.valid_until =
      requires_key ? config_covered_until_ + limits_.max_config_age : MonotonicTime::max();
  progress.tried.push_back(plan.endpoint);
  if (query.reason == PlanReason::kNextModel) progress.insufficient = progress.model;
  progress.model = plan.model;
  progress.version = version;
  plan.progress = std::move(progress);
  log_.Write(Event::kAttemptPlanned, RequestId(request.metadata.attempt.value()),
             fmt::format("endpoint={} version={} model={} reason={} session={} in_flight={} "
                         "slowdown={:.2f} work={} {}",
                         plan.endpoint.value(), version.value(), plan.model.value(),
                         Name(query.reason), request.metadata.session.value(), endpoint->in_flight,
                         endpoint->pace.At(now).value(), work.value(), ConfigSummary()));
  return {std::move(plan), {}, nullptr, nullptr};
}

Tokens RouteState::EstimateWork(const CallerRequest& request, const RoutedService& service,
                                const ModelId& model) const {
  double price = 1;
  double highest = 0;
  for (const PricedModel& priced : service.models) {
    highest = std::max(highest, priced.price);
    if (priced.id == model) price = priced.price;
  }
  const double share = highest > 0 ? std::min(price / highest, 1.0) : 0;
  return Tokens(static_cast<std::uint64_t>(
      share * static_cast<double>(request.metadata.prompt_tokens.value())));
}

void RouteState::Apply(const HeadReport& report) {
  const MonotonicTime now = clock_.Now();
  pool_.OnHead(report, now);
  if (report.unreadable_load && pool_.OnUnreadableLoad(report.endpoint, report.started)) {
    log_.Write(
        Event::kLoadReportUnreadable, report.request,
        fmt::format("endpoint={} started={}", report.endpoint.value(), report.started.value()));
  }
  if (report.rate_limit || report.success) {
    const RateLimitStatement statement{report.endpoint, report.started, report.rate_limit,
                                       report.rate_limit ? now : report.sent_at};
    const auto change = pool_.rate_limits().Observe(statement, now);
    if (change) LogRateLimit(report.request, statement, *change, "answer");
  }
  if (!report.draining || !pool_.OnDrainingStated(report.endpoint, report.started, now)) return;
  log_.Write(Event::kEndpointDraining, report.request,
             fmt::format("endpoint={} started={} registered={}", report.endpoint.value(),
                         report.started.value(), pool_.Find(report.endpoint) != nullptr));
}

void RouteState::Apply(const UnderWayReport& report) {
  rollouts_.OnUnderWay(report.attempt, pool_.Judge(report.attempt));
  pace_.Learn(report.attempt, clock_.Now());
}

void RouteState::Apply(const SessionRequestEnd& end) {
  versions_.OnRequestEnd(end.service, end.session, clock_.Now());
}

void RouteState::Apply(const ConfidenceReport& report) {
  const Route& route = *report.progress.route;
  const auto model = PositionOf(route, report.model);
  if (!model) return;
  acceptances_.Add(HashRoute(route.id), *model, PositionOf(route, report.progress.insufficient),
                   models_.Suffices(route, report.confidence), clock_.Now());
}

void RouteState::Apply(const AttemptReport& report) {
  const MonotonicTime now = clock_.Now();
  const LatencyBaseline::Verdict latency = pool_.Judge(report);
  const bool is_reference = rollouts_.IsReference(report.service, report.version);
  pool_.OnReport(report, ColdTime(report.service), is_reference, now);
  pace_.Learn(report, now);
  if (report.repeat && !report.sent) BudgetOf(report.service).OnUnsent(now);
  rollouts_.OnReport(report, latency);
}

Duration RouteState::ColdTime(const ServiceId& service) const {
  const RoutedService* found = table_ ? table_->FindService(service) : nullptr;
  return found == nullptr ? Duration::zero() : found->cold_time;
}

void RouteState::Install(const Ref<const RouteTable>& table) {
  if (table_ != nullptr && table->version() <= table_->version()) return;
  table_ = table;
  log_.Write(Event::kRouteTableInstalled, RequestId(),
             fmt::format("config={} routes={}", table->version().value(), table->route_count()));
}

void RouteState::ApplyEvacuation(const OperatorRow& row) {
  const AvailabilityZoneId& zone = row.evacuation;
  if (!pool_.Evacuate(zone, !row.evacuation_ended)) return;
  if (row.evacuation_ended) {
    Duration cold{};
    if (table_ != nullptr) cold = table_->LongestColdTime();
    pool_.AssumeCold(zone, cold, clock_.Now());
  }
  log_.Write(row.evacuation_ended ? Event::kZoneReturned : Event::kZoneEvacuated, RequestId(),
             "zone=" + zone.value());
}

void RouteState::Apply(const OperatorDelta& delta) {
  for (const OperatorRow& row : delta.rows) {
    if (row.config != nullptr) Install(row.config);
    if (!row.evacuation.empty()) ApplyEvacuation(row);
    if (!row.removed_rollout.empty()) rollouts_.Cancel(row.removed_rollout);
    if (row.rollout) {
      const VersionId* baseline = versions_.Baseline(row.rollout->service);
      if (baseline != nullptr) rollouts_.SetBaseline(row.rollout->service, *baseline);
      rollouts_.ApplyOrder(*row.rollout);
      log_.Write(Event::kRolloutOrdered, RequestId(),
                 fmt::format("service={} target={} limit_ms={}", row.rollout->service.value(),
                             row.rollout->target.value(), ToMillis(row.rollout->time_limit)));
    }
  }
  config_covered_until_ = std::max(config_covered_until_, delta.covered_until);
  store_now_ = delta.store_now;
  store_read_ = delta.store_read;
  store_offset_ = delta.store_offset;
  orders_ = delta.orders;
}

void RouteState::ExtendCoverage(const OperatorTableState& orders) {
  if (!store_offset_ || orders.until.count() == 0) return;
  if (orders.era != orders_.era || orders.digest != orders_.digest) return;
  const MonotonicTime covered(orders.until + *store_offset_);
  // A time in the future comes from before a restart of the store's clock.
  if (covered > clock_.Now()) return;
  peers_covered_until_ = std::max(peers_covered_until_, covered);
  config_covered_until_ = std::max(config_covered_until_, covered);
  orders_.until = std::max(orders_.until, orders.until);
}

void RouteState::Apply(const EndpointDelta& delta) {
  endpoints_listed_ = true;
  for (const EndpointRecord& record : delta.changed) {
    const PooledEndpoint* known = pool_.Find(record.id);
    log_.Write(
        known == nullptr ? Event::kEndpointAdded : Event::kEndpointChanged, RequestId(),
        fmt::format("endpoint={} service={} address={} zone={} version={} draining={} "
                    "cold_ms={} started={}",
                    record.id.value(), record.service.value(), record.address.ToString(),
                    record.availability_zone.value(), record.version.value(), record.draining,
                    ToMillis(record.cold_remaining), record.started.value()));
    pool_.Upsert(record, ColdTime(record.service), clock_.Now());
  }
  for (const EndpointId& id : delta.removed) {
    log_.Write(Event::kEndpointRemoved, RequestId(), "endpoint=" + id.value());
    pool_.Remove(id);
  }
}

void RouteState::Apply(const RouterDelta& delta) {
  routers_listed_ = true;
  for (const PeerRecord& peer : delta.peers) {
    if (!peers_.AddRow(peer.host)) continue;
    log_.Write(Event::kPeerJoined, RequestId(),
               fmt::format("host={} address={}", peer.host.value(), peer.gossip.ToString()));
  }
  pool_.SetOtherEntries(peers_.OtherHosts());
  for (const ServiceId& service : delta.removed_rollouts) rollouts_.RemoveProgress(service);
  for (const RolloutProgress& progress : delta.rollouts) rollouts_.Apply(progress);
}

void RouteState::Apply(const PeerReport& report) {
  const auto observation = peers_.Observe(report.host, report.incarnation, clock_.Now());
  if (!observation.replaced.empty()) {
    rollouts_.OnEntryEnded(observation.replaced);
    pool_.ClearPending(observation.replaced);
  }
  if (observation.is_new) {
    if (routers_listed_) pool_.SetOtherEntries(peers_.OtherHosts());
    log_.Write(
        Event::kPeerHeard, RequestId(),
        fmt::format("host={} incarnation={}", report.host.value(), report.incarnation.value()));
  }
  peer_era_ = std::max(peer_era_, report.orders.era);
  ExtendCoverage(report.orders);
  pool_.UpdatePending(report.incarnation, report.pending, clock_.Now());
  acceptances_.Merge(report.host, report.acceptance, clock_.Now());
  pool_.MergeSlowdowns(report.slowdowns, clock_.Now());
  const MonotonicTime until = clock_.Now() + limits_.session_timeout;
  for (const RolloutEvidence& evidence : report.rollouts) {
    rollouts_.Apply(report.incarnation, evidence);
    for (const SessionHash session : evidence.held_back) {
      rollouts_.HoldBack(evidence.service, session, until);
    }
  }
}

void RouteState::LogRateLimit(const RequestId& request, const RateLimitStatement& statement,
                              const EndpointRateLimits::Change& change,
                              std::string_view source) const {
  const auto text = [](const std::optional<RequestRate>& limit) {
    return limit ? fmt::to_string(limit->value()) : "none";
  };
  log_.Write(Event::kRateLimitChanged, request,
             fmt::format("endpoint={} started={} before={} after={} source={} age_ms={} rank={} "
                         "entries={}",
                         statement.endpoint.value(), statement.started.value(), text(change.before),
                         text(change.after), source, ToMillis(clock_.Now() - statement.stated_at),
                         pool_.ranking().Rank(statement.endpoint.value()), pool_.ranking().size()));
}

void RouteState::Apply(const RateLimitReport& report) {
  if (!store_offset_) return;
  const MonotonicTime now = clock_.Now();
  for (const ReportedRateLimit& reported : report.limits) {
    const RateLimitStatement statement{reported.endpoint, reported.started, reported.limit,
                                       MonotonicTime(reported.stated + *store_offset_)};
    const auto change = pool_.rate_limits().Merge(statement, now);
    if (change) LogRateLimit(RequestId(), statement, *change, report.host.value());
  }
}

std::optional<RateLimitReport> RouteState::TakeRateLimits() {
  if (!store_offset_) return std::nullopt;
  RateLimitReport report{identity_.host, {}};
  for (const RateLimitStatement& statement : pool_.rate_limits().TakeReport(clock_.Now())) {
    const Duration stated = statement.stated_at.time_since_epoch() - *store_offset_;
    report.limits.push_back({statement.endpoint, statement.started, statement.limit,
                             std::chrono::milliseconds(ToMillis(stated))});
  }
  if (report.limits.empty()) return std::nullopt;
  return report;
}

std::vector<RolloutProgress> RouteState::Tick() {
  const MonotonicTime now = clock_.Now();
  versions_.Prune(now);
  slowdown_quantiles_ = pool_.Slowdowns(now);
  rollouts_.ForgetAbsentVersions(
      [this](const ServiceId& service) { return pool_.Versions(service); }, now);
  for (const auto& [host, incarnation] : peers_.RemoveSilent(now, kPeerTimeout)) {
    log_.Write(Event::kPeerLost, RequestId(), "host=" + host.value());
    rollouts_.OnEntryEnded(incarnation);
    pool_.ClearPending(incarnation);
    acceptances_.Forget(host, now);
    if (routers_listed_) pool_.SetOtherEntries(peers_.OtherHosts());
  }
  if (table_ == nullptr) return {};
  std::map<ServiceId, RolloutInputs> inputs;
  for (const RolloutEvidence& evidence : rollouts_.Evidence()) {
    const ServiceId& service = evidence.service;
    inputs[service] = {pool_.OpenAtOtherVersions(service, rollouts_.Find(service)->target),
                       pool_.ranking().Rank(service.value())};
  }
  const auto elapsed = std::chrono::duration_cast<std::chrono::milliseconds>(now - store_read_);
  return rollouts_.Tick(store_now_ + elapsed, inputs);
}

PeerReport RouteState::MakeReport() {
  PeerReport report{identity_.host, identity_.incarnation, rollouts_.Evidence(),
                    pool_.LargestPending(kMaxPendingEndpoints), orders_};
  report.acceptance = acceptances_.Report(clock_.Now());
  report.slowdowns = pool_.TakeSlowdowns(kMaxSharedSlowdowns, clock_.Now());
  for (RolloutEvidence& evidence : report.rollouts) {
    const RolloutOrder* order = rollouts_.Find(evidence.service);
    evidence.open_at_old = pool_.OpenAtOtherVersions(evidence.service, order->target);
    if (!rollouts_.InTrial(evidence.service)) continue;
    evidence.held_back = versions_.TakeHeldBack(
        *order, rollouts_.trial_share(), kMaxHeldBack / report.rollouts.size(), clock_.Now());
  }
  return report;
}

}  // namespace bamboodock
