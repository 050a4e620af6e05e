#pragma once

#include <cstdint>
#include <random>

namespace bamboodock {

/// Seeded random number generator, passed by reference to the code that draws from it.
///
/// Satisfies UniformRandomBitGenerator, so distributions can draw from it.
class Random {
 public:
  using result_type = std::mt19937_64::result_type;

  explicit Random(std::uint64_t seed) : engine_(seed) {}

  static constexpr result_type min() { return std::mt19937_64::min(); }
  static constexpr result_type max() { return std::mt19937_64::max(); }
  result_type operator()() { return engine_(); }

  /// Uniform number in [0, 1); the sequence is the same with every standard library.
  double Uniform() {
    constexpr int kDroppedBits = 11;
    constexpr double kStep = 0x1.0p-53;
    return static_cast<double>(engine_() >> kDroppedBits) * kStep;
  }

  /// Uniform integer in [0, bound); `bound` must be positive.
  std::uint64_t Below(std::uint64_t bound) {
    const auto value = static_cast<std::uint64_t>(Uniform() * static_cast<double>(bound));
    return value < bound ? value : bound - 1;
  }

 private:
  std::mt19937_64 engine_;
};

}  // namespace bamboodock
