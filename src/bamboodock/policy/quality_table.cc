#include "bamboodock/policy/quality_table.h"

namespace bamboodock {
namespace {

constexpr Ratio kUnknownQuality{0.5};
/// Acceptance before any answer has been checked: most answers pass.
constexpr Ratio kPriorAcceptance{0.8};

}  // namespace

void QualityTable::SetPrior(const QualityKey& key, Ratio prior) {
  entries_.try_emplace(key,
                       Entry{QualityEstimate(prior, settings_), QualityEstimate(kPriorAcceptance)});
}

void QualityTable::AddRating(const QualityKey& key, Ratio rating, MonotonicTime now) {
  At(key).quality.AddRating(rating, now);
}

void QualityTable::AddCheckResult(const QualityKey& key, bool accepted, MonotonicTime now) {
  At(key).acceptance.AddRating(Ratio(accepted ? 1.0 : 0.0), now);
}

Quality QualityTable::QualityOf(const QualityKey& key, MonotonicTime now) const {
  const auto found = entries_.find(key);
  if (found == entries_.end()) return QualityEstimate(kUnknownQuality, settings_).At(now);
  return found->second.quality.At(now);
}

Ratio QualityTable::Acceptance(const QualityKey& key, MonotonicTime now) const {
  const auto found = entries_.find(key);
  return found == entries_.end() ? kPriorAcceptance : found->second.acceptance.At(now).mean;
}

QualityTable::Entry& QualityTable::At(const QualityKey& key) {
  SetPrior(key, kUnknownQuality);
  return entries_.find(key)->second;
}

}  // namespace bamboodock
