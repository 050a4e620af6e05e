#pragma once

#include <chrono>
#include <cstdint>
#include <functional>
#include <map>
#include <mutex>
#include <optional>
#include <set>
#include <string>
#include <vector>

namespace bamboodock::process_test {

/// Time since the begin of a play.
using PlayTime = std::chrono::milliseconds;

struct PlayInterval {
  PlayTime begin{};
  PlayTime end{};
};

/// Configuration that the operator has written.
struct PlayedConfig {
  std::uint64_t version = 0;
  std::set<std::string> keys;
  /// Service by path prefix.
  std::map<std::string, std::string> routes;
  /// When its first write was sent.
  PlayTime issued{};

  /// Status of the answer to a request, and the service when it is served: "401", "404", "200 s1".
  std::string Outcome(const std::string& key, const std::string& prefix) const;
};

/// Request of a caller and its answer.
struct PlayedRequest {
  std::size_t router = 0;
  PlayTime sent{};
  PlayTime answered{};
  std::string key;
  std::string prefix;
  /// As `PlayedConfig::Outcome`; another status, or 0 without an answer, is no judgement.
  std::string outcome;
};

/// Request that reached an endpoint.
struct PlayedArrival {
  std::size_t router = 0;
  std::size_t endpoint = 0;
  PlayTime at{};
};

/// What happened in a play, and its judgement by the bounds of the operators' rules. Thread-safe.
class PlayRecord {
 public:
  PlayRecord(std::size_t routers, std::size_t endpoints);

  PlayTime Now() const;
  /// Adds a line to the time line.
  void Note(const std::string& text);

  void Issue(PlayedConfig config);
  /// From now on the store holds this version of the configuration.
  void StoreHoldsConfig(std::uint64_t version);
  /// From now on the row of the endpoint is that of one that leaves or was removed, or is not.
  void StoreHoldsLeaving(std::size_t endpoint, bool leaving);
  void StoreAway(PlayInterval interval);
  void RouterFrozen(std::size_t router, PlayInterval interval);
  /// Time in which the host did not run this process, and perhaps no router either.
  void HostStalled(PlayInterval interval);
  void Add(PlayedRequest request);
  void Add(PlayedArrival arrival);

  /// Breaches of the rules, a line each.
  std::vector<std::string> Violations() const;
  std::string TimeLine() const;
  /// Numbers of requests and arrivals, for a line of the test's output.
  std::string Summary() const;
  /// Endpoints that requests of the router have reached since a time.
  std::set<std::size_t> Reached(std::size_t router, PlayTime since) const;

 private:
  template <class Value>
  struct Change {
    PlayTime at{};
    Value value{};
  };

  std::vector<PlayInterval> Disturbances(std::size_t router) const;
  /// First time at which a state has held for the limit without a disturbance.
  template <class Value>
  std::optional<PlayTime> KnownFrom(const std::vector<Change<Value>>& changes,
                                    const std::function<bool(const Value&)>& holds,
                                    std::size_t router) const;
  void JudgeRequests(std::size_t router, std::vector<std::string>& violations) const;
  void JudgeArrivals(std::size_t router, std::vector<std::string>& violations) const;
  bool IsExcused(std::size_t router, PlayTime at) const;
  bool IsDisturbed(std::size_t router, PlayInterval interval) const;

  const std::chrono::steady_clock::time_point begin_ = std::chrono::steady_clock::now();
  mutable std::mutex mutex_;
  std::string time_line_;
  std::vector<PlayedConfig> configs_;
  std::vector<Change<std::uint64_t>> held_configs_;
  std::vector<std::vector<Change<bool>>> held_leaving_;
  std::vector<PlayInterval> away_;
  std::vector<PlayInterval> stalls_;
  std::vector<std::vector<PlayInterval>> frozen_;
  std::vector<PlayedRequest> requests_;
  std::vector<PlayedArrival> arrivals_;
};

}  // namespace bamboodock::process_test
