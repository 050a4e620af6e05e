#include "bamboodock/policy/version_evidence.h"

namespace bamboodock {

void VersionEvidence::Merge(const IncarnationId& source, const EvidenceCounters& counters) {
  EvidenceCounters& known = sources_[source];
  const EvidenceCounters newer = EvidenceCounters::Newer(known, counters);
  total_.answers += newer.answers - known.answers;
  total_.errors += newer.errors - known.errors;
  total_.slow += newer.slow - known.slow;
  total_.streams += newer.streams - known.streams;
  total_.slow_streams += newer.slow_streams - known.slow_streams;
  total_.ratings += newer.ratings - known.ratings;
  total_.bad_ratings += newer.bad_ratings - known.bad_ratings;
  known = newer;
}

void VersionEvidence::Merge(const VersionEvidence& other) {
  for (const auto& [source, counters] : other.sources_) Merge(source, counters);
}

}  // namespace bamboodock
