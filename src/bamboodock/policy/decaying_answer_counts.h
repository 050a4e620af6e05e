#pragma once

#include <cmath>

#include "bamboodock/core/units.h"

namespace bamboodock {

/// Counts of good and bad answers that decay exponentially, with a half-life of `kHalfLife`.
class DecayingAnswerCounts {
 public:
  void Add(bool good, MonotonicTime now) {
    Decay(now);
    (good ? good_ : bad_) += 1;
  }

  double good(MonotonicTime now) {
    Decay(now);
    return good_;
  }
  double bad(MonotonicTime now) {
    if (bad_ == 0) return 0;
    Decay(now);
    return bad_;
  }

 private:
  static constexpr std::chrono::seconds kHalfLife{4};

  void Decay(MonotonicTime now) {
    if (now <= updated_) return;
    const std::chrono::duration<double> elapsed = now - updated_;
    const double factor = std::exp2(-elapsed / std::chrono::duration<double>(kHalfLife));
    good_ *= factor;
    bad_ *= factor;
    updated_ = now;
  }

  MonotonicTime updated_{};
  double good_ = 0;
  double bad_ = 0;
};

}  // namespace bamboodock
