#pragma once

#include <cstdint>
#include <optional>

#include "bamboodock/core/store_revision.h"
#include "bamboodock/core/units.h"

namespace bamboodock {

/// What the era of an answer says about the answer.
enum class EraVerdict : std::uint8_t {
  kCurrent,
  /// The store has returned from an older copy since the last answer.
  kReturned,
  /// The answer is of an earlier era than the present one and must change nothing.
  kLate,
};

/// Follows the era of the store over its answers.
///
/// Answers of several connections arrive in any order, so one of an earlier era may come after the
/// first of a new one. It is told by its call, which was sent before the new era was seen. An
/// answer to a later call states what the store now is, whatever its number.
class StoreEraTracker {
 public:
  // Modelled in model/store_return.pml, inline Receive.
  /// @param stated Era in the answer; empty when it states none, which changes nothing.
  EraVerdict Observe(std::optional<StoreEra> stated, MonotonicTime call_sent, MonotonicTime now) {
    if (!stated || stated == era_) return EraVerdict::kCurrent;
    if (era_ && *stated < *era_ && call_sent < seen_at_) return EraVerdict::kLate;
    const bool is_first = !era_;
    era_ = stated;
    seen_at_ = now;
    return is_first ? EraVerdict::kCurrent : EraVerdict::kReturned;
  }

  /// Present era; 0 while no answer has stated one.
  StoreEra era() const { return era_.value_or(StoreEra()); }

  /// Whether an era that another entry names shows that this one has missed a return.
  bool IsBehind(StoreEra named) const { return era_ && named > *era_; }

 private:
  std::optional<StoreEra> era_;
  MonotonicTime seen_at_{};
};

}  // namespace bamboodock
