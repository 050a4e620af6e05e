#pragma once

#include <algorithm>
#include <chrono>
#include <cmath>
#include <cstddef>
#include <cstdint>
#include <map>
#include <optional>
#include <tuple>
#include <utility>
#include <vector>

#include "bamboodock/core/ids.h"
#include "bamboodock/core/units.h"
#include "bamboodock/routing/peer_report.h"

namespace bamboodock {

/// Estimates how often the answers of a model suffice, by route and by the model whose answer did
/// not suffice before.
///
/// Load pattern: routes whose requests differ in difficulty, and difficulty that changes within
/// minutes. Counts of this entry and of the others are added up; all decay with a half-life of
/// 30 s. A report replaces the earlier one of its sender, so it may be lost, repeated or late.
class ModelAcceptances {
 public:
  /// Limit of a report, so that it fits into a datagram.
  static constexpr std::size_t kMaxReported = 12;

  /// Counts one answer of the model at position `model` of the route.
  /// @param previous Position of the model whose answer did not suffice before.
  void Add(RouteHash route, std::size_t model, std::optional<std::size_t> previous, bool suffices,
           MonotonicTime now) {
    const Key key = MakeKey(route, model, previous);
    const Counts answer{suffices ? 1.0 : 0.0, 1, now};
    own_[key].Add(answer, 1, now);
    total_[key].Add(answer, 1, now);
  }

  /// Replaces what the entry on this host reported before.
  void Merge(const HostId& host, const std::vector<ModelAcceptance>& report, MonotonicTime now) {
    Forget(host, now);
    std::map<Key, Counts>& counts = reported_[host];
    for (const ModelAcceptance& entry : report) {
      if (counts.size() >= kMaxReported || !IsPossible(entry)) continue;
      const Key key{entry.route, entry.previous ? std::int64_t{*entry.previous} : kNone,
                    entry.model};
      if (total_.size() >= kMaxPairs && !total_.contains(key)) continue;
      const double part = std::min(1.0, kMaxWeight / std::max(entry.judged, 1.0));
      const Counts received{entry.accepted * part, entry.judged * part, now};
      if (counts.emplace(key, received).second) total_[key].Add(received, 1, now);
    }
  }

  /// Removes the counts of an entry that has ended.
  void Forget(const HostId& host, MonotonicTime now) {
    const auto found = reported_.find(host);
    if (found == reported_.end()) return;
    for (auto& [key, counts] : found->second) {
      const auto total = total_.find(key);
      if (total == total_.end()) continue;
      total->second.Add(counts, -1, now);
      if (total->second.judged < kNegligible) total_.erase(total);
    }
    reported_.erase(found);
  }

  /// Probability that an answer of the model suffices.
  Ratio Probability(RouteHash route, std::size_t model, std::optional<std::size_t> previous,
                    MonotonicTime now) const {
    const auto found = total_.find(MakeKey(route, model, previous));
    Counts counts;
    if (found != total_.end()) counts = found->second.At(now);
    return Ratio((kPriorAccepted + counts.accepted) / (kPriorJudged + counts.judged));
  }

  /// Counts of this entry, those with the most answers first.
  std::vector<ModelAcceptance> Report(MonotonicTime now) const {
    std::vector<ModelAcceptance> report;
    for (const auto& [key, counts] : own_) {
      const Counts current = counts.At(now);
      if (current.judged < kNegligible) continue;
      const auto& [route, previous, model] = key;
      ModelAcceptance entry{current.accepted, current.judged, route, model, std::nullopt};
      if (previous != kNone) entry.previous = static_cast<std::uint32_t>(previous);
      report.push_back(entry);
    }
    std::sort(report.begin(), report.end(),
              [](const auto& a, const auto& b) { return a.judged > b.judged; });
    if (report.size() > kMaxReported) report.resize(kMaxReported);
    return report;
  }

 private:
  /// Route, position of the model before (`kNone` for a first answer) and of the model.
  using Key = std::tuple<RouteHash, std::int64_t, std::uint32_t>;

  struct Counts {
    double accepted = 0;
    double judged = 0;
    MonotonicTime updated{};

    Counts At(MonotonicTime now) const {
      if (now <= updated) return *this;
      using Seconds = std::chrono::duration<double>;
      const double factor = std::exp2(-Seconds(now - updated) / Seconds(kHalfLife));
      return {accepted * factor, judged * factor, now};
    }
    void Add(const Counts& other, double sign, MonotonicTime now) {
      const Counts added = other.At(now);
      *this = At(now);
      judged = std::max(judged + sign * added.judged, 0.0);
      accepted = std::clamp(accepted + sign * added.accepted, 0.0, judged);
    }
  };

  static Key MakeKey(RouteHash route, std::size_t model, std::optional<std::size_t> previous) {
    return {route, previous ? static_cast<std::int64_t>(*previous) : kNone,
            static_cast<std::uint32_t>(model)};
  }
  /// Whether an entry can have counted this. Written so that NaN fails.
  static bool IsPossible(const ModelAcceptance& entry) {
    return entry.model < kMaxModels && (!entry.previous || *entry.previous < entry.model) &&
           entry.accepted >= 0 && entry.accepted <= entry.judged && std::isfinite(entry.judged);
  }

  static constexpr std::chrono::seconds kHalfLife{30};
  static constexpr std::int64_t kNone = -1;
  /// Counts before the first answer. They favour asking a model of up to 0.6 of the price of the
  /// next larger one, since a model that is never asked would never be learned about; two answers
  /// that do not suffice halve the probability.
  static constexpr double kPriorAccepted = 1.2;
  static constexpr double kPriorJudged = 2;
  /// Answers for which one report counts at most, so that no faulty entry outweighs all others.
  static constexpr double kMaxWeight = 200;
  static constexpr double kNegligible = 0.05;
  static constexpr std::uint32_t kMaxModels = 16;
  /// Bound of the memory that reports of others can take.
  static constexpr std::size_t kMaxPairs = 4096;

  std::map<Key, Counts> own_;
  std::map<HostId, std::map<Key, Counts>> reported_;
  /// Sum of `own_` and `reported_`.
  std::map<Key, Counts> total_;
};

}  // namespace bamboodock
