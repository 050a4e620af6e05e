#include "bamboodock/policy/rollout_guard.h"

namespace bamboodock {
namespace {

using Counters = EvidenceCounters;

}  // namespace

const std::array<RolloutGuard::Row, 3> RolloutGuard::kRows = {{
    {EvidenceSignal::kErrors, &Counters::answers, &Counters::errors},
    {EvidenceSignal::kRatings, &Counters::ratings, &Counters::bad_ratings},
    {EvidenceSignal::kSlowAnswers, &Counters::answers, &Counters::slow},
}};

RolloutGuard::RolloutGuard(const RolloutLimits& limits)
    : tests_{SequentialTest(limits.errors), SequentialTest(limits.ratings),
             SequentialTest(limits.slow)} {}

std::optional<EvidenceSignal> RolloutGuard::Observe(const EvidenceCounters& total) {
  std::optional<EvidenceSignal> failed_signal;
  for (std::size_t i = 0; i < kRows.size(); ++i) {
    const Row& row = kRows.at(i);
    const std::uint64_t observed = total.*row.observations - last_observed_.*row.observations;
    const std::uint64_t bad = total.*row.bad - last_observed_.*row.bad;
    const std::uint64_t good = observed > bad ? observed - bad : 0;
    if (tests_.at(i).Add(good, bad) && !failed_signal) failed_signal = row.signal;
  }
  last_observed_ = Counters::Newer(last_observed_, total);
  return failed_signal;
}

}  // namespace bamboodock
