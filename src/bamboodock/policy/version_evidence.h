#pragma once

#include <unordered_map>

#include "bamboodock/core/ids.h"
#include "bamboodock/policy/evidence_counters.h"

namespace bamboodock {

/// Counts of the answers of one version, merged from all sources.
///
/// Merging is idempotent, commutative and associative, so reports may be repeated, reordered or
/// relayed by a peer. A source is one incarnation of a sidecar, because counts restart with the
/// process.
class VersionEvidence {
 public:
  void Merge(const IncarnationId& source, const EvidenceCounters& counters);
  void Merge(const VersionEvidence& other);

  const EvidenceCounters& total() const { return total_; }
  const std::unordered_map<IncarnationId, EvidenceCounters>& sources() const { return sources_; }

 private:
  std::unordered_map<IncarnationId, EvidenceCounters> sources_;
  EvidenceCounters total_;
};

}  // namespace bamboodock
