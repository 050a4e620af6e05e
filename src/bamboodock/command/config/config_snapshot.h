#pragma once

#include <memory>
#include <string>
#include <vector>

#include "bamboodock/core/ids.h"
#include "bamboodock/core/ref_counted.h"
#include "bamboodock/core/units.h"
#include "bamboodock/objects/object_set.h"
#include "bamboodock/policy/freshness_rule.h"

namespace bamboodock {

/// Object set with its encoded text, so that it can be forwarded without encoding it again.
struct PublishedSet {
  PublicationId publication;
  Epoch epoch;
  Ref<const ObjectSet> set;
  std::shared_ptr<const std::string> text;
};

/// Immutable snapshot of the configuration of a process.
class ConfigSnapshot : public RefCounted<ConfigSnapshot> {
 public:
  ConfigSnapshot(PublishedSet current, std::vector<PublishedSet> pending, FreshnessRule freshness)
      : current_(std::move(current)),
        pending_(std::move(pending)),
        freshness_(std::move(freshness)) {}

  Epoch epoch() const { return current_.epoch; }
  const PublishedSet& current() const { return current_; }
  /// Prepared sets; admission checks them in addition to the current one.
  const std::vector<PublishedSet>& pending() const { return pending_; }
  /// Null before the first publication is known.
  const ObjectSet* set() const { return current_.set.get(); }
  const FreshnessRule& freshness() const { return freshness_; }

  /// Whether work may be admitted at `now` under this configuration.
  bool IsFresh(MonotonicTime now) const;

  /// Whether this entry attests as a witness, and whether its record of prepares is complete,
  /// which it is not right after a restart.
  bool attests() const { return attests_; }
  bool complete() const { return complete_; }
  void SetWitnessState(bool attests, bool complete) {
    attests_ = attests;
    complete_ = complete;
  }

 private:
  PublishedSet current_;
  std::vector<PublishedSet> pending_;
  FreshnessRule freshness_;
  bool attests_ = false;
  bool complete_ = false;
};

}  // namespace bamboodock
