#include "bamboodock/experiment/fake_engine.h"

#include <algorithm>
#include <utility>
#include <vector>

namespace bamboodock::experiment {
namespace {

/// Time after which a cold engine reports that it could not take a request.
constexpr Duration kFailureTime = std::chrono::milliseconds(50);

}  // namespace

FakeEngine::FakeEngine(EventLoop& loop, const EngineTraits& traits)
    : loop_(loop), traits_(traits), cache_(traits.cache_capacity) {}

void FakeEngine::Start(EngineJob job) {
  const JobId id = next_id_++;
  const bool refused = cold() && running_.size() >= traits_.cold_limit.value();
  const Tokens cached = refused ? Tokens(0) : cache_.Use(job.prefix_key, job.prefix);
  const auto to_read = static_cast<Duration::rep>((job.prompt - cached).value());
  running_.emplace(id, std::move(job));
  if (refused) {
    loop_.After(kFailureTime, [this, id] { End(id, false); });
    return;
  }
  prompt_tokens_ += running_[id].prompt.value();
  cached_tokens_ += cached.value();
  prefill_free_ =
      std::max(prefill_free_, loop_.now()) + traits_.per_prompt_token * to_read * Slowdown();
  loop_.At(prefill_free_, [this, id] { FirstToken(id); });
}

void FakeEngine::TurnCold() {
  cache_.Clear();
  cold_until_ = loop_.now() + traits_.cold_time;
}

void FakeEngine::Kill() {
  std::vector<JobId> ids;
  for (const auto& [id, job] : running_) ids.push_back(id);
  // The order of a hash map depends on the library; the order of failures must not.
  std::sort(ids.begin(), ids.end());
  for (const JobId id : ids) End(id, false);
  prefill_free_ = loop_.now();
  TurnCold();
}

void FakeEngine::FirstToken(JobId id) {
  const auto found = running_.find(id);
  if (found == running_.end()) return;
  const auto neighbours = static_cast<Duration::rep>(running_.size() - 1);
  const auto tokens = static_cast<Duration::rep>(found->second.completion.value());
  const Duration per_token = traits_.per_completion_token + traits_.per_neighbour * neighbours;
  loop_.After(per_token * tokens * Slowdown(), [this, id] { End(id, true); });
  found->second.on_first_token();
}

void FakeEngine::End(JobId id, bool ok) {
  auto node = running_.extract(id);
  if (!node.empty()) node.mapped().on_end(ok);
}

}  // namespace bamboodock::experiment
