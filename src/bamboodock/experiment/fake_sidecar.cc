#include "bamboodock/experiment/fake_sidecar.h"

#include <memory>
#include <utility>

namespace bamboodock::experiment {
namespace {

/// Outcome of one job, shared by its callbacks.
struct JobState {
  EngineJob job;
  MonotonicTime started;
  Duration first_token{};
};

}  // namespace

FakeSidecar::FakeSidecar(EventLoop& loop, const EngineTraits& traits, Duration first_token_target,
                         EndpointId id, AvailabilityZoneId zone)
    : loop_(loop),
      traits_(traits),
      first_token_target_(first_token_target),
      id_(std::move(id)),
      zone_(std::move(zone)),
      engine_(loop, traits),
      ramp_(traits.cold_limit, traits.batch, first_token_target) {}

bool FakeSidecar::TryStart(EngineJob job) {
  if (out_ || !ramp_.TryAdmit()) return false;
  auto state = std::make_shared<JobState>();
  state->job = std::move(job);
  state->started = loop_.now();
  EngineJob inner;
  inner.prompt = state->job.prompt;
  inner.completion = state->job.completion;
  inner.prefix_key = state->job.prefix_key;
  inner.prefix = state->job.prefix;
  inner.on_first_token = [this, state] {
    state->first_token = loop_.now() - state->started;
    state->job.on_first_token();
  };
  inner.on_end = [this, state](bool ok) {
    ramp_.Finished(state->first_token, ok);
    state->job.on_end(ok);
  };
  engine_.Start(std::move(inner));
  return true;
}

LoadReport FakeSidecar::Report() {
  if (out_) return {ramp_.in_flight(), Concurrency(0), false};
  const bool cold = engine_.cold();
  if (cold) ramp_.TurnedCold();
  return {ramp_.in_flight(), ramp_.limit(), !cold};
}

void FakeSidecar::Kill() {
  out_ = true;
  engine_.Kill();
}

void FakeSidecar::Restart() {
  out_ = false;
  ramp_ = AdmissionRamp(traits_.cold_limit, traits_.batch, first_token_target_);
  engine_.TurnCold();
}

}  // namespace bamboodock::experiment
