#include "bamboodock/experiment/fake_sidecar.h"

#include <memory>
#include <utility>

namespace bamboodock::experiment {
namespace {

/// State of one job, shared by its callbacks.
struct JobState {
  EngineJob job;
  MonotonicTime started;
  Duration first_token{};
};

}  // namespace

FakeSidecar::FakeSidecar(EventLoop& loop, const EngineParameters& parameters,
                         Duration first_token_target, EndpointId id, AvailabilityZoneId zone)
    : loop_(loop),
      parameters_(parameters),
      first_token_target_(first_token_target),
      id_(std::move(id)),
      zone_(std::move(zone)),
      engine_(loop, parameters),
      ramp_(parameters.cold_limit, parameters.batch, first_token_target) {}

bool FakeSidecar::TryStart(EngineJob job) {
  if (stopped_ || !ramp_.TryAdmit()) return false;
  auto state = std::make_shared<JobState>();
  state->job = std::move(job);
  state->started = loop_.now();
  EngineJob engine_job;
  engine_job.prompt = state->job.prompt;
  engine_job.completion = state->job.completion;
  engine_job.prefix_key = state->job.prefix_key;
  engine_job.prefix = state->job.prefix;
  engine_job.on_first_token = [this, state] {
    state->first_token = loop_.now() - state->started;
    state->job.on_first_token();
  };
  engine_job.on_end = [this, state](bool ok) {
    ramp_.OnFinished(state->first_token, ok);
    state->job.on_end(ok);
  };
  engine_.Start(std::move(engine_job));
  return true;
}

LoadReport FakeSidecar::Report() {
  if (stopped_) return {ramp_.in_flight(), Concurrency(0), false};
  const bool cold = engine_.cold();
  if (cold) ramp_.OnTurnedCold();
  return {ramp_.in_flight(), ramp_.limit(), !cold};
}

void FakeSidecar::Kill() {
  stopped_ = true;
  engine_.Kill();
}

void FakeSidecar::Restart() {
  stopped_ = false;
  ramp_ = AdmissionRamp(parameters_.cold_limit, parameters_.batch, first_token_target_);
  engine_.TurnCold();
}

}  // namespace bamboodock::experiment
