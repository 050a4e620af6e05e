#pragma once

#include <cstdint>
#include <functional>
#include <list>
#include <unordered_map>

#include "bamboodock/core/units.h"
#include "bamboodock/experiment/event_loop.h"
#include "bamboodock/experiment/prefix_cache.h"

namespace bamboodock::experiment {

/// Speed and limits of a fake engine.
struct EngineParameters {
  Duration per_prompt_token = std::chrono::microseconds(50);
  Duration per_completion_token = std::chrono::milliseconds(15);
  /// Added to the time of each completion token for each other running request.
  Duration per_concurrent_request = std::chrono::microseconds(500);
  /// Requests decoded together; the warm limit of the sidecar's admission.
  Concurrency batch{32};
  /// Maximum number of requests that a cold engine serves at the same time.
  Concurrency cold_limit{2};
  /// Factor on all times while cold.
  int cold_slowdown = 4;
  Duration cold_time = std::chrono::seconds(30);
  /// Capacity of the prefix cache.
  Tokens cache_capacity{60000};
};

/// Request to an engine, with its callbacks on the event loop.
struct EngineJob {
  Tokens prompt;
  Tokens completion;
  std::uint64_t prefix_key = 0;
  Tokens prefix;
  std::function<void()> on_first_token;
  /// Called once; `ok` is false when the engine failed the request.
  std::function<void(bool ok)> on_end;
};

/// Simulated inference engine with batched decoding, a prefix cache and cold starts.
///
/// Prefill handles one request at a time, in the order of arrival. The decoding speed of a request
/// is fixed when its decoding begins, from the number of requests running then. A cold engine fails
/// requests beyond its cold limit.
class FakeEngine {
 public:
  FakeEngine(EventLoop& loop, const EngineParameters& parameters);

  void Start(EngineJob job);
  /// Empties the prefix cache and slows the engine down for `cold_time`; running requests continue.
  void TurnCold();
  /// Fails all running requests and leaves the engine cold.
  void Kill();

  bool cold() const { return loop_.now() < cold_until_; }
  /// Prompt tokens found in the prefix cache since the start.
  std::uint64_t cached_tokens() const { return cached_tokens_; }
  /// Prompt tokens of all requests that were not refused since the start.
  std::uint64_t prompt_tokens() const { return prompt_tokens_; }

 private:
  using JobId = std::uint64_t;

  void FirstToken(JobId id);
  void End(JobId id, bool ok);
  int Slowdown() const { return cold() ? parameters_.cold_slowdown : 1; }

  EventLoop& loop_;
  EngineParameters parameters_;
  PrefixCache cache_;
  std::unordered_map<JobId, EngineJob> running_;
  JobId next_id_ = 0;
  /// End of the last queued prefill.
  MonotonicTime prefill_available_at_{};
  MonotonicTime cold_until_{};
  std::uint64_t cached_tokens_ = 0;
  std::uint64_t prompt_tokens_ = 0;
};

}  // namespace bamboodock::experiment
