#include "bamboodock/experiment/fake_engine.h"

#include <algorithm>
#include <utility>
#include <vector>

namespace bamboodock::experiment {
namespace {

/// Time after which a cold engine fails a request that exceeds its cold limit.
constexpr Duration kColdRefusalDelay = std::chrono::milliseconds(50);

}  // namespace

FakeEngine::FakeEngine(EventLoop& loop, const EngineParameters& parameters)
    : loop_(loop), parameters_(parameters), cache_(parameters.cache_capacity) {}

void FakeEngine::Start(EngineJob job) {
  const JobId id = next_id_++;
  const bool refused = cold() && running_.size() >= parameters_.cold_limit.value();
  const Tokens cached = refused ? Tokens(0) : cache_.Access(job.prefix_key, job.prefix);
  const auto uncached = static_cast<Duration::rep>((job.prompt - cached).value());
  running_.emplace(id, std::move(job));
  if (refused) {
    loop_.After(kColdRefusalDelay, [this, id] { End(id, false); });
    return;
  }
  prompt_tokens_ += running_[id].prompt.value();
  cached_tokens_ += cached.value();
  prefill_available_at_ = std::max(prefill_available_at_, loop_.now()) +
                          parameters_.per_prompt_token * uncached * Slowdown();
  loop_.At(prefill_available_at_, [this, id] { FirstToken(id); });
}

void FakeEngine::TurnCold() {
  cache_.Clear();
  cold_until_ = loop_.now() + parameters_.cold_time;
}

void FakeEngine::Kill() {
  std::vector<JobId> ids;
  for (const auto& [id, job] : running_) ids.push_back(id);
  // The iteration order of a hash map depends on the standard library. Sorting keeps the order of
  // failures, and with it the results, the same everywhere.
  std::sort(ids.begin(), ids.end());
  for (const JobId id : ids) End(id, false);
  prefill_available_at_ = loop_.now();
  TurnCold();
}

void FakeEngine::FirstToken(JobId id) {
  const auto found = running_.find(id);
  if (found == running_.end()) return;
  const auto other_requests = static_cast<Duration::rep>(running_.size() - 1);
  const auto tokens = static_cast<Duration::rep>(found->second.completion.value());
  const Duration per_token =
      parameters_.per_completion_token + parameters_.per_concurrent_request * other_requests;
  loop_.After(per_token * tokens * Slowdown(), [this, id] { End(id, true); });
  found->second.on_first_token();
}

void FakeEngine::End(JobId id, bool ok) {
  auto node = running_.extract(id);
  if (!node.empty()) node.mapped().on_end(ok);
}

}  // namespace bamboodock::experiment
