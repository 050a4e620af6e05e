#pragma once

#include <string_view>
#include <vector>

#include "bamboodock/core/ids.h"
#include "bamboodock/core/result.h"
#include "bamboodock/core/units.h"

namespace bamboodock::standin {

/// Version that the engine can run.
struct ServedVersion {
  VersionId id;
  Ratio quality{1.0};
  /// Time between tokens; zero stands for the engine's.
  Duration token_time{0};
};

/// Behaviour of a stand-in engine.
class EngineSettings {
 public:
  EngineSettings& Versions(std::vector<ServedVersion> versions);
  /// Streams that generate at the same time.
  EngineSettings& Batch(Concurrency batch);
  EngineSettings& FirstTokenTime(Duration time);
  EngineSettings& TokenTime(Duration time);
  /// Requests after which the engine is warm, how much slower it is until then, and the streams
  /// above which it fails until then.
  EngineSettings& ColdStart(std::uint64_t requests, double factor, Concurrency limit);
  EngineSettings& LoadLag(Duration lag);
  EngineSettings& CachedPrefixes(std::size_t count);
  EngineSettings& CheckFencing(bool check);

  const std::vector<ServedVersion>& versions() const { return versions_; }
  const ServedVersion* Find(const VersionId& id) const;
  Concurrency batch() const { return batch_; }
  Duration first_token_time() const { return first_token_time_; }
  Duration token_time() const { return token_time_; }
  std::uint64_t warmup_requests() const { return warmup_requests_; }
  double cold_factor() const { return cold_factor_; }
  Concurrency cold_limit() const { return cold_limit_; }
  Duration load_lag() const { return load_lag_; }
  std::size_t cached_prefixes() const { return cached_prefixes_; }
  bool check_fencing() const { return check_fencing_; }

 private:
  std::vector<ServedVersion> versions_;
  Concurrency batch_{16};
  Duration first_token_time_ = std::chrono::milliseconds(50);
  Duration token_time_ = std::chrono::milliseconds(10);
  std::uint64_t warmup_requests_ = 0;
  double cold_factor_ = 4.0;
  Concurrency cold_limit_{2};
  Duration load_lag_ = std::chrono::milliseconds(500);
  std::size_t cached_prefixes_ = 256;
  bool check_fencing_ = false;
};

/// Parses "name:quality:ms_per_token,..."; the last two parts may be left out.
Result<std::vector<ServedVersion>> ParseVersions(std::string_view text);

}  // namespace bamboodock::standin
