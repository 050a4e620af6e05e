#pragma once

#include <cstdint>
#include <mutex>
#include <random>
#include <string>

namespace bamboodock {

/// Generates unique ids: a prefix and 96 random bits in hexadecimal.
class IdGenerator {
 public:
  IdGenerator() : engine_(Seed()) {}
  explicit IdGenerator(std::uint64_t seed) : engine_(seed) {}

  /// Any thread may call it.
  std::string Next(const std::string& prefix);

 private:
  /// 64 bits from the operating system; one word of std::random_device has only 32.
  static std::uint64_t Seed() {
    std::random_device device;
    return (static_cast<std::uint64_t>(device()) << 32U) | device();
  }

  std::mutex mutex_;
  std::mt19937_64 engine_;
};

}  // namespace bamboodock
