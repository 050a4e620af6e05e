#include "bamboodock/policy/version_evidence.h"

namespace bamboodock {

void VersionEvidence::Merge(const IncarnationId& source, const EvidenceCounters& counters) {
  EvidenceCounters& held = sources_[source];
  const EvidenceCounters newer = EvidenceCounters::Newer(held, counters);
  total_.answers += newer.answers - held.answers;
  total_.errors += newer.errors - held.errors;
  total_.slow += newer.slow - held.slow;
  total_.ratings += newer.ratings - held.ratings;
  total_.bad_ratings += newer.bad_ratings - held.bad_ratings;
  held = newer;
}

void VersionEvidence::Merge(const VersionEvidence& other) {
  for (const auto& [source, counters] : other.sources_) Merge(source, counters);
}

}  // namespace bamboodock
