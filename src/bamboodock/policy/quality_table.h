#pragma once

#include <map>
#include <tuple>

#include "bamboodock/core/ids.h"
#include "bamboodock/policy/quality_estimate.h"
#include "bamboodock/policy/request_kind.h"

namespace bamboodock {

/// Key of a quality estimate.
struct QualityKey {
  VersionId version;
  RequestKind kind;
  /// Whether the answer of an earlier step was rejected; such requests are harder.
  bool escalated = false;

  friend bool operator<(const QualityKey& a, const QualityKey& b) {
    return std::tie(a.version, a.kind, a.escalated) < std::tie(b.version, b.kind, b.escalated);
  }
};

/// Estimates of the quality and of the share of answers that pass the check, by `QualityKey`.
class QualityTable {
 public:
  explicit QualityTable(const QualitySettings& settings = {}) : settings_(settings) {}

  /// Sets the prior from the object set; a key that already has an estimate keeps it.
  void SetPrior(const QualityKey& key, Ratio prior);
  void AddRating(const QualityKey& key, Ratio rating, MonotonicTime now);
  /// Records whether a checked answer was accepted.
  void AddCheckResult(const QualityKey& key, bool accepted, MonotonicTime now);

  Quality QualityOf(const QualityKey& key, MonotonicTime now) const;
  Ratio Acceptance(const QualityKey& key, MonotonicTime now) const;

 private:
  struct Entry {
    QualityEstimate quality;
    QualityEstimate acceptance;
  };

  Entry& At(const QualityKey& key);

  QualitySettings settings_;
  std::map<QualityKey, Entry> entries_;
};

}  // namespace bamboodock
