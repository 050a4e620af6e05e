#pragma once

#include <string_view>
#include <vector>

#include "bamboodock/core/ids.h"
#include "bamboodock/core/result.h"
#include "bamboodock/core/units.h"

namespace bamboodock::standin {

/// Model version that the engine can serve.
struct ServedVersion {
  VersionId id;
  Ratio quality{1.0};
  /// Time between tokens; zero uses the engine's token time.
  Duration token_time{0};
};

/// Behaviour of a stand-in engine.
class EngineSettings {
 public:
  EngineSettings& Versions(std::vector<ServedVersion> versions);
  /// Maximum number of streams that generate at the same time.
  EngineSettings& Batch(Concurrency batch);
  EngineSettings& FirstTokenTime(Duration time);
  EngineSettings& TokenTime(Duration time);
  /// @param requests Requests after which the engine is warm.
  /// @param factor Factor on the first token time and the token time until then.
  /// @param limit Maximum number of open streams until then; further requests are refused.
  EngineSettings& ColdStart(std::uint64_t requests, double factor, Concurrency limit);
  /// Interval at which the load report is refreshed, at least 10 ms.
  EngineSettings& LoadLag(Duration lag);
  EngineSettings& CachedPrefixes(std::size_t count);
  /// Whether orders with a lower fencing token than the highest seen are refused.
  EngineSettings& CheckFencing(bool check);

  const std::vector<ServedVersion>& versions() const { return versions_; }
  /// Null when the engine has no such version.
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

/// Parses "name:quality:ms_per_token,..."; `quality` (default 1) and `ms_per_token` are optional.
///
/// Fails with `kBadSetting` when the text is malformed or lists no version.
Result<std::vector<ServedVersion>> ParseVersions(std::string_view text);

}  // namespace bamboodock::standin
