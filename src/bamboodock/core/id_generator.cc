#include "bamboodock/core/id_generator.h"

#include <spdlog/fmt/fmt.h>

namespace bamboodock {

std::string IdGenerator::Next(const std::string& prefix) {
  std::uint64_t high = 0;
  std::uint64_t low = 0;
  {
    const std::lock_guard lock(mutex_);
    high = engine_();
    low = engine_();
  }
  return fmt::format("{}{:016x}{:08x}", prefix, high, low & 0xffffffffU);
}

}  // namespace bamboodock
