#include "bamboodock/experiment/fake_fleet.h"

#include <algorithm>
#include <cmath>

#include "bamboodock/experiment/time.h"

namespace bamboodock::experiment {
namespace {

/// Maximum time until a publication reaches an entry.
constexpr double kMaxPublishDelaySeconds = 2;

double MeanTokens(const TokenDistribution& distribution) {
  return distribution.median * std::exp(distribution.sigma * distribution.sigma / 2);
}

/// Requests per second that all engines can serve without cached prefixes: the lower of the rates
/// that prefill and decoding in full batches allow.
RequestRate Capacity(const Deployment& deployment, const EngineParameters& engine) {
  double prompt = 0;
  double completion = 0;
  for (const KindTraffic& kind : deployment.kinds) {
    prompt += kind.share.value() * MeanTokens(kind.prompt);
    completion += kind.share.value() * MeanTokens(kind.completion);
  }
  const double batch = engine.batch.value();
  const double per_token = ToSeconds(engine.per_completion_token) +
                           ToSeconds(engine.per_concurrent_request) * (batch - 1);
  const double prefill = prompt * ToSeconds(engine.per_prompt_token);
  const double decode = completion * per_token / batch;
  return RequestRate(static_cast<double>(deployment.endpoints) / std::max(prefill, decode));
}

RequestRate OfferedRate(const Deployment& deployment, const FleetSettings& settings) {
  return RequestRate(Capacity(deployment, settings.engine).value() * settings.load.value());
}

}  // namespace

FakeFleet::FakeFleet(const Deployment& deployment, const FleetSettings& settings,
                     std::uint64_t seed)
    : deployment_(deployment),
      settings_(settings),
      random_(seed),
      trace_(deployment, OfferedRate(deployment, settings), seed) {
  for (std::size_t i = 0; i < deployment.endpoints; ++i) {
    sidecars_.push_back(std::make_unique<FakeSidecar>(
        loop_, settings.engine, settings.first_token_target,
        EndpointId("runner-" + std::to_string(i)), deployment.zones[i % deployment.zones.size()]));
  }
  for (std::size_t i = 0; i < deployment.entries; ++i) {
    entries_.push_back(std::make_unique<FakeEntry>(loop_, deployment, settings, sidecars_,
                                                   deployment.zones[i % deployment.zones.size()],
                                                   random_()));
  }
  next_ = trace_.Next();
  SendLoadReports();
}

void FakeFleet::RunUntil(MonotonicTime end, FleetResult& result) {
  loop_.At(next_.time, [this, &result, end] { OnArrival(result, end); });
  loop_.RunUntil(end);
}

void FakeFleet::Finish() {
  constexpr Duration kMaxAnswerTime = std::chrono::seconds(300);
  loop_.RunUntil(loop_.now() + kMaxAnswerTime);
}

void FakeFleet::Drain(const AvailabilityZoneId& zone) { Publish(&FakeEntry::OnZoneLeft, zone); }

void FakeFleet::Kill(const AvailabilityZoneId& zone) {
  for (const auto& sidecar : sidecars_) {
    if (sidecar->zone() == zone) sidecar->Kill();
  }
}

void FakeFleet::Restore(const AvailabilityZoneId& zone) {
  for (const auto& sidecar : sidecars_) {
    if (sidecar->zone() == zone) sidecar->Restart();
  }
  Publish(&FakeEntry::OnZoneReturned, zone);
}

Ratio FakeFleet::CacheHitRatio() const {
  double cached = 0;
  double prompt = 0;
  for (const auto& sidecar : sidecars_) {
    cached += static_cast<double>(sidecar->engine().cached_tokens());
    prompt += static_cast<double>(sidecar->engine().prompt_tokens());
  }
  return Ratio(cached / std::max(1.0, prompt));
}

void FakeFleet::SendLoadReports() {
  const MonotonicTime taken_at = loop_.now();
  for (std::size_t i = 0; i < sidecars_.size(); ++i) {
    const LoadReport report = sidecars_[i]->Report();
    loop_.After(settings_.report_delay, [this, i, report, taken_at] {
      for (const auto& entry : entries_) entry->OnReport(i, report, taken_at);
    });
  }
  loop_.After(settings_.report_interval, [this] { SendLoadReports(); });
}

void FakeFleet::OnArrival(FleetResult& result, MonotonicTime end) {
  if (admission_check_()) {
    entries_[random_.Below(entries_.size())]->Serve(next_, result);
  } else {
    ++result.requests;
    ++result.refused;
  }
  next_ = trace_.Next();
  if (next_.time <= end) loop_.At(next_.time, [this, &result, end] { OnArrival(result, end); });
}

void FakeFleet::Publish(void (FakeEntry::*notify)(const AvailabilityZoneId&),
                        const AvailabilityZoneId& zone) {
  for (const auto& entry : entries_) {
    const Duration delay = FromSeconds(random_.Uniform() * kMaxPublishDelaySeconds);
    loop_.After(delay, [&entry, notify, zone] { ((*entry).*notify)(zone); });
  }
}

}  // namespace bamboodock::experiment
