#include "bamboodock/standin/engine_settings.h"

#include <sstream>
#include <string>
#include <utility>

namespace bamboodock::standin {

EngineSettings& EngineSettings::Versions(std::vector<ServedVersion> versions) {
  versions_ = std::move(versions);
  return *this;
}

EngineSettings& EngineSettings::Batch(Concurrency batch) {
  batch_ = batch;
  return *this;
}

EngineSettings& EngineSettings::FirstTokenTime(Duration time) {
  first_token_time_ = time;
  return *this;
}

EngineSettings& EngineSettings::TokenTime(Duration time) {
  token_time_ = time;
  return *this;
}

EngineSettings& EngineSettings::ColdStart(std::uint64_t requests, double factor,
                                          Concurrency limit) {
  warmup_requests_ = requests;
  cold_factor_ = factor;
  cold_limit_ = limit;
  return *this;
}

EngineSettings& EngineSettings::LoadLag(Duration lag) {
  load_lag_ = lag;
  return *this;
}

EngineSettings& EngineSettings::CachedPrefixes(std::size_t count) {
  cached_prefixes_ = count;
  return *this;
}

EngineSettings& EngineSettings::CheckFencing(bool check) {
  check_fencing_ = check;
  return *this;
}

const ServedVersion* EngineSettings::Find(const VersionId& id) const {
  for (const ServedVersion& version : versions_) {
    if (version.id == id) return &version;
  }
  return nullptr;
}

Result<std::vector<ServedVersion>> ParseVersions(std::string_view text) {
  std::vector<ServedVersion> versions;
  std::istringstream items{std::string(text)};
  std::string item;
  while (std::getline(items, item, ',')) {
    const std::string message =
        "version '" + item +
        "' is not name:quality:ms_per_token with quality in [0, 1] and ms_per_token >= 0";
    std::istringstream parts(item);
    std::string name;
    std::getline(parts, name, ':');
    double quality = 1.0;
    char colon = 0;
    double milliseconds = 0.0;
    if (!parts.eof()) parts >> quality;
    if (parts && !parts.eof()) parts >> colon >> milliseconds;
    const bool complete = !parts.fail() && parts.eof() && (colon == 0 || colon == ':');
    if (name.empty() || !complete || quality < 0.0 || quality > 1.0 || milliseconds < 0.0) {
      return Raise(ResultCode::kBadSetting, message);
    }
    const std::chrono::duration<double, std::milli> token_time(milliseconds);
    versions.push_back(
        {VersionId(name), Ratio(quality), std::chrono::duration_cast<Duration>(token_time)});
  }
  if (versions.empty()) return Raise(ResultCode::kBadSetting, "expected at least one version");
  return versions;
}

}  // namespace bamboodock::standin
