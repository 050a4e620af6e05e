#include "process/support/play_record.h"

#include <algorithm>
#include <iomanip>
#include <sstream>

namespace bamboodock::process_test {
namespace {

using std::chrono::milliseconds;

/// Bound of the operators' rules, for configurations and for endpoints that leave.
constexpr milliseconds kLimit{2000};

std::string Seconds(PlayTime time) {
  std::ostringstream text;
  text << std::fixed << std::setprecision(3) << static_cast<double>(time.count()) / 1000.0;
  return text.str();
}

}  // namespace

std::string PlayedConfig::Outcome(const std::string& key, const std::string& prefix) const {
  const auto route = routes.find(prefix);
  if (route == routes.end()) return "404";
  return keys.contains(key) ? "200 " + route->second : "401";
}

PlayRecord::PlayRecord(std::size_t routers, std::size_t endpoints)
    : held_leaving_(endpoints), frozen_(routers) {}

PlayTime PlayRecord::Now() const {
  return std::chrono::duration_cast<PlayTime>(std::chrono::steady_clock::now() - begin_);
}

void PlayRecord::Note(const std::string& text) {
  const std::lock_guard lock(mutex_);
  time_line_ += "  " + Seconds(Now()) + " " + text + "\n";
}

void PlayRecord::Issue(PlayedConfig config) {
  const std::lock_guard lock(mutex_);
  config.issued = Now();
  configs_.push_back(std::move(config));
}

void PlayRecord::StoreHoldsConfig(std::uint64_t version) {
  const std::lock_guard lock(mutex_);
  held_configs_.push_back({Now(), version});
}

void PlayRecord::StoreHoldsLeaving(std::size_t endpoint, bool leaving) {
  const std::lock_guard lock(mutex_);
  held_leaving_.at(endpoint).push_back({Now(), leaving});
}

void PlayRecord::StoreAway(PlayInterval interval) {
  const std::lock_guard lock(mutex_);
  away_.push_back(interval);
}

void PlayRecord::RouterFrozen(std::size_t router, PlayInterval interval) {
  const std::lock_guard lock(mutex_);
  frozen_.at(router).push_back(interval);
}

void PlayRecord::HostStalled(PlayInterval interval) {
  const std::lock_guard lock(mutex_);
  stalls_.push_back(interval);
  time_line_ += "  " + Seconds(interval.end) + " this process did not run since " +
                Seconds(interval.begin) + "\n";
}

void PlayRecord::Add(PlayedRequest request) {
  const std::lock_guard lock(mutex_);
  requests_.push_back(std::move(request));
}

void PlayRecord::Add(PlayedArrival arrival) {
  const std::lock_guard lock(mutex_);
  arrivals_.push_back(arrival);
}

std::vector<std::string> PlayRecord::Violations() const {
  const std::lock_guard lock(mutex_);
  std::vector<std::string> violations;
  for (std::size_t router = 0; router < frozen_.size(); ++router) {
    JudgeRequests(router, violations);
    JudgeArrivals(router, violations);
  }
  return violations;
}

std::string PlayRecord::TimeLine() const {
  const std::lock_guard lock(mutex_);
  return time_line_;
}

std::string PlayRecord::Summary() const {
  const std::lock_guard lock(mutex_);
  std::map<std::string, std::size_t> outcomes;
  for (const PlayedRequest& request : requests_) ++outcomes[request.outcome];
  std::string text = std::to_string(arrivals_.size()) + " arrivals, stalls of this process " +
                     std::to_string(stalls_.size()) + ", answers:";
  for (const auto& [outcome, count] : outcomes) {
    text.append(" [").append(outcome).append("] ").append(std::to_string(count));
  }
  return text;
}

std::set<std::size_t> PlayRecord::Reached(std::size_t router, PlayTime since) const {
  const std::lock_guard lock(mutex_);
  std::set<std::size_t> reached;
  for (const PlayedArrival& arrival : arrivals_) {
    if (arrival.router == router && arrival.at >= since) reached.insert(arrival.endpoint);
  }
  return reached;
}

std::vector<PlayInterval> PlayRecord::Disturbances(std::size_t router) const {
  std::vector<PlayInterval> all = away_;
  all.insert(all.end(), stalls_.begin(), stalls_.end());
  all.insert(all.end(), frozen_.at(router).begin(), frozen_.at(router).end());
  std::sort(all.begin(), all.end(),
            [](const PlayInterval& a, const PlayInterval& b) { return a.begin < b.begin; });
  return all;
}

template <class Value>
std::optional<PlayTime> PlayRecord::KnownFrom(const std::vector<Change<Value>>& changes,
                                              const std::function<bool(const Value&)>& holds,
                                              std::size_t router) const {
  const std::vector<PlayInterval> disturbances = Disturbances(router);
  for (std::size_t i = 0; i < changes.size(); ++i) {
    if (!holds(changes[i].value)) continue;
    PlayTime begin = changes[i].at;
    while (i + 1 < changes.size() && holds(changes[i + 1].value)) ++i;
    const PlayTime end = i + 1 < changes.size() ? changes[i + 1].at : PlayTime::max();
    for (const PlayInterval& disturbance : disturbances) {
      if (disturbance.end <= begin) continue;
      if (disturbance.begin >= begin + kLimit) break;
      begin = disturbance.end;
    }
    if (begin < end && end - begin >= kLimit) return begin + kLimit;
  }
  return std::nullopt;
}

bool PlayRecord::IsExcused(std::size_t router, PlayTime at) const {
  const auto covers = [&](const PlayInterval& interval) {
    return at >= interval.begin && at <= interval.end + kLimit;
  };
  const std::vector<PlayInterval>& frozen = frozen_.at(router);
  return std::any_of(frozen.begin(), frozen.end(), covers);
}

bool PlayRecord::IsDisturbed(std::size_t router, PlayInterval interval) const {
  const std::vector<PlayInterval> all = Disturbances(router);
  return std::any_of(all.begin(), all.end(), [&](const PlayInterval& disturbance) {
    return interval.end >= disturbance.begin && interval.begin <= disturbance.end + kLimit;
  });
}

void PlayRecord::JudgeRequests(std::size_t router, std::vector<std::string>& violations) const {
  std::map<std::uint64_t, std::optional<PlayTime>> known_from;
  for (const PlayedConfig& config : configs_) {
    known_from[config.version] = KnownFrom<std::uint64_t>(
        held_configs_, [&](const std::uint64_t& held) { return held >= config.version; }, router);
  }
  // Oldest configuration by which an earlier answer of this router can have been judged.
  std::uint64_t shown = 0;
  for (const PlayedRequest& request : requests_) {
    if (request.router != router || IsExcused(router, request.sent)) continue;
    std::uint64_t known = 0;
    for (const auto& [version, from] : known_from) {
      if (from && *from <= request.sent) known = version;
    }
    const std::string line = Seconds(request.sent) + " to " + Seconds(request.answered) +
                             " router " + std::to_string(router) + ": " + request.key + " " +
                             request.prefix + " got [" + request.outcome + "], configuration " +
                             std::to_string(known) + " must be known, " + std::to_string(shown) +
                             " was in force before";
    if (request.outcome != "401" && request.outcome != "404" &&
        !request.outcome.starts_with("200")) {
      if (!IsDisturbed(router, {request.sent, request.answered})) {
        violations.push_back("CONFIG (not served) " + line);
      }
      continue;
    }
    std::optional<std::uint64_t> judged_by;
    bool is_known_state = false;
    for (const PlayedConfig& config : configs_) {
      if (judged_by || config.version < shown || config.issued > request.answered) continue;
      if (config.Outcome(request.key, request.prefix) != request.outcome) continue;
      is_known_state = true;
      if (config.version >= known) judged_by = config.version;
    }
    if (judged_by) {
      shown = *judged_by;
    } else {
      violations.push_back((is_known_state ? "CONFIG (late) " : "CONFIG (went back) ") + line);
    }
  }
}

void PlayRecord::JudgeArrivals(std::size_t router, std::vector<std::string>& violations) const {
  for (std::size_t endpoint = 0; endpoint < held_leaving_.size(); ++endpoint) {
    const std::optional<PlayTime> known = KnownFrom<bool>(
        held_leaving_[endpoint], [](const bool& leaving) { return leaving; }, router);
    if (!known) continue;
    for (const PlayedArrival& arrival : arrivals_) {
      if (arrival.router != router || arrival.endpoint != endpoint || arrival.at <= *known ||
          IsExcused(router, arrival.at)) {
        continue;
      }
      violations.push_back("DRAIN " + Seconds(arrival.at) + " router " + std::to_string(router) +
                           " sends to endpoint " + std::to_string(endpoint) +
                           ", whose leaving must be known since " + Seconds(*known));
    }
  }
}

}  // namespace bamboodock::process_test
