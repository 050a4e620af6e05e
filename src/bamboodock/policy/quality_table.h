#pragma once

#include <map>
#include <tuple>

#include "bamboodock/core/ids.h"
#include "bamboodock/policy/quality_estimate.h"
#include "bamboodock/policy/request_kind.h"

namespace bamboodock {

/// What a quality estimate is kept for.
struct QualityKey {
  VersionId version;
  RequestKind kind;
  /// Whether an earlier step's answer was rejected; such requests are harder.
  bool escalated = false;

  friend bool operator<(const QualityKey& a, const QualityKey& b) {
    return std::tie(a.version, a.kind, a.escalated) < std::tie(b.version, b.kind, b.escalated);
  }
};

/// Quality estimates per version and kind, and the share of answers that pass the check.
class QualityTable {
 public:
  explicit QualityTable(const QualitySettings& settings = {}) : settings_(settings) {}

  /// Sets the prior from the object set; evidence gathered so far is kept.
  void SetPrior(const QualityKey& key, Ratio prior);
  void Rate(const QualityKey& key, Ratio rating, MonotonicTime now);
  /// Counts an answer that was checked.
  void Checked(const QualityKey& key, bool accepted, MonotonicTime now);

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
