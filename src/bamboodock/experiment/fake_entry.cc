#include "bamboodock/experiment/fake_entry.h"

#include <algorithm>
#include <utility>

#include "bamboodock/experiment/time.h"

namespace bamboodock::experiment {
namespace {

constexpr Ratio kRetryShare{0.1};
constexpr double kRetryReserve = 10;
constexpr Duration kBackoffBase = std::chrono::milliseconds(50);
constexpr Duration kBackoffCap = std::chrono::seconds(1);
/// Maximum time after its arrival for which a request waits for a free endpoint.
constexpr Duration kMaxWaitTime = std::chrono::seconds(2);
constexpr Ratio kInitialZoneShare{0.1};
constexpr Duration kZoneRampDuration = std::chrono::seconds(60);
constexpr Duration kSameZoneDelay = std::chrono::microseconds(100);

}  // namespace

struct FakeEntry::Call {
  TraceRequest request;
  FleetResult* result = nullptr;
  std::vector<bool> tried;
  StepNumber backoff_count;
  /// Whether a sidecar accepted an attempt that then failed before its first token.
  bool accepted = false;
};

struct FakeEntry::Attempt {
  CallPtr call;
  std::size_t endpoint = 0;
  bool has_output = false;
};

FakeEntry::FakeEntry(EventLoop& loop, const Deployment& deployment, const FleetSettings& settings,
                     std::vector<std::unique_ptr<FakeSidecar>>& sidecars, AvailabilityZoneId zone,
                     std::uint64_t seed)
    : loop_(loop),
      deployment_(deployment),
      settings_(settings),
      sidecars_(sidecars),
      zone_(std::move(zone)),
      random_(seed),
      chooser_(MakeEndpointChooser(settings.strategy)),
      budget_(kRetryShare, kRetryReserve),
      backoff_(kBackoffBase, kBackoffCap),
      report_times_(sidecars.size()),
      ramps_(
          deployment.zones.size(),
          ZoneRamp(kInitialZoneShare, settings.zone_ramp ? kZoneRampDuration : Duration::zero())) {
  for (const auto& sidecar : sidecars_) {
    EndpointView view;
    view.id = sidecar->id();
    view.availability_zone = sidecar->zone();
    view.limit = settings.engine.cold_limit;
    views_.push_back(view);
  }
}

void FakeEntry::Serve(const TraceRequest& request, FleetResult& result) {
  ++result.requests;
  budget_.OnRequest();
  auto call = std::make_shared<Call>();
  call->request = request;
  call->result = &result;
  call->tried.resize(views_.size());
  TryNextEndpoint(call);
}

void FakeEntry::OnReport(std::size_t endpoint, const LoadReport& report, MonotonicTime taken_at) {
  views_[endpoint].reported_load = report.load;
  views_[endpoint].limit = report.limit;
  views_[endpoint].warm = report.warm;
  views_[endpoint].sent_since_report = Concurrency(0);
  report_times_[endpoint] = taken_at;
}

void FakeEntry::OnZoneLeft(const AvailabilityZoneId& zone) { Ramp(zone).MarkUnavailable(); }

void FakeEntry::OnZoneReturned(const AvailabilityZoneId& zone) {
  Ramp(zone).MarkAvailable(loop_.now());
}

void FakeEntry::TryNextEndpoint(const CallPtr& call) {
  const EndpointQuery query{call->request.prefix_key, zone_};
  const std::vector<EndpointView> views = Views(*call);
  const auto chosen = chooser_->Choose(views, query, random_);
  if (chosen) {
    Send(call, *chosen);
    return;
  }
  WaitForCapacity(call);
}

void FakeEntry::Send(const CallPtr& call, std::size_t endpoint) {
  call->tried[endpoint] = true;
  ++call->result->attempts;
  views_[endpoint].in_flight += Concurrency(1);
  views_[endpoint].sent_since_report += Concurrency(1);
  auto attempt = std::make_shared<Attempt>(Attempt{call, endpoint, false});
  loop_.After(HopDelay(endpoint), [this, attempt] {
    const TraceRequest& request = attempt->call->request;
    const Duration hop_delay = HopDelay(attempt->endpoint);
    EngineJob job;
    job.prompt = request.prompt;
    job.completion = request.completion;
    job.prefix_key = request.prefix_key;
    job.prefix = request.prefix;
    job.on_first_token = [=, this] {
      loop_.After(hop_delay, [=, this] { OnFirstToken(attempt); });
    };
    job.on_end = [=, this](bool ok) { loop_.After(hop_delay, [=, this] { OnEnd(attempt, ok); }); };
    if (!sidecars_[attempt->endpoint]->TryStart(std::move(job))) {
      loop_.After(hop_delay, [=, this] { OnRefused(attempt); });
    }
  });
}

void FakeEntry::OnRefused(const AttemptPtr& attempt) {
  EndpointView& view = views_[attempt->endpoint];
  view.in_flight -= Concurrency(1);
  // Treats the endpoint as full until its next load report or the end of an attempt of this entry.
  view.limit = std::min(view.limit, view.in_flight);
  Retry(attempt->call);
}

void FakeEntry::OnFirstToken(const AttemptPtr& attempt) {
  attempt->has_output = true;
  const Duration elapsed = loop_.now() - attempt->call->request.time;
  attempt->call->result->first_token.Add(ToSeconds(elapsed));
  if (elapsed > 2 * settings_.first_token_target) ++attempt->call->result->late;
}

void FakeEntry::OnEnd(const AttemptPtr& attempt, bool ok) {
  views_[attempt->endpoint].in_flight -= Concurrency(1);
  FleetResult& result = *attempt->call->result;
  if (ok) {
    ++result.answered;
    result.total_time.Add(ToSeconds(loop_.now() - attempt->call->request.time));
  } else if (attempt->has_output) {
    ++result.lost;
  } else {
    attempt->call->accepted = true;
    Retry(attempt->call);
  }
}

void FakeEntry::Retry(const CallPtr& call) {
  const bool in_time = loop_.now() < call->request.time + settings_.request_deadline;
  if (in_time && TryAcquireRetry()) {
    TryNextEndpoint(call);
  } else {
    Refuse(call);
  }
}

void FakeEntry::WaitForCapacity(const CallPtr& call) {
  // Every endpoint is full or was tried. A back-off sends no attempt and therefore spends no retry.
  std::fill(call->tried.begin(), call->tried.end(), false);
  if (loop_.now() > call->request.time + kMaxWaitTime || settings_.retry == RetryMode::kNone) {
    Refuse(call);
    return;
  }
  const Duration delay = backoff_.Delay(call->backoff_count, random_);
  call->backoff_count = call->backoff_count.Next();
  loop_.After(delay, [this, call] { TryNextEndpoint(call); });
}

void FakeEntry::Refuse(const CallPtr& call) {
  ++(call->accepted ? call->result->lost : call->result->refused);
}

bool FakeEntry::TryAcquireRetry() {
  if (settings_.retry == RetryMode::kBudget) return budget_.TryRetry();
  return settings_.retry == RetryMode::kUnlimited;
}

std::vector<EndpointView> FakeEntry::Views(const Call& call) const {
  std::vector<EndpointView> views = views_;
  for (std::size_t i = 0; i < views.size(); ++i) {
    views[i].report_age = loop_.now() - report_times_[i];
    const auto zone =
        std::find(deployment_.zones.begin(), deployment_.zones.end(), views[i].availability_zone) -
        deployment_.zones.begin();
    views[i].zone_share = ramps_[static_cast<std::size_t>(zone)].Share(loop_.now());
    // The published object set holds no endpoint of a zone that left. An endpoint that was tried
    // for this call is not chosen again until `WaitForCapacity` clears the marks.
    if (call.tried[i] || views[i].zone_share == Ratio(0.0)) views[i].limit = Concurrency(0);
  }
  return views;
}

Duration FakeEntry::HopDelay(std::size_t endpoint) const {
  return views_[endpoint].availability_zone == zone_ ? kSameZoneDelay
                                                     : deployment_.inter_zone_delay;
}

ZoneRamp& FakeEntry::Ramp(const AvailabilityZoneId& zone) {
  const auto found = std::find(deployment_.zones.begin(), deployment_.zones.end(), zone);
  return ramps_.at(static_cast<std::size_t>(found - deployment_.zones.begin()));
}

}  // namespace bamboodock::experiment
