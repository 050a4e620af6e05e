#pragma once

#include <atomic>
#include <cstdint>
#include <utility>

#include "bamboodock/core/units.h"

namespace bamboodock {

/// Bytes that an entry may hold for callers and endpoints, shared by all `MemoryClaim`s on it.
///
/// Load pattern: many callers hold bodies of legal size open at the same time, so that the limits
/// of one request do not bound the memory of the process.
///
/// Claims are made and released on one thread.
class MemoryBudget {
 public:
  /// A claim up to this size may use the whole budget.
  static constexpr Bytes kSmallClaim{65536};
  /// Larger claims may use this share of it, so that ordinary requests find room beside large ones.
  static constexpr std::uint64_t kLargeNumerator = 3;
  static constexpr std::uint64_t kLargeDenominator = 4;

  /// @param held Receives the number of bytes held, for readers on other threads.
  MemoryBudget(Bytes limit, std::atomic<std::uint64_t>& held) : limit_(limit), held_(held) {}
  MemoryBudget(const MemoryBudget&) = delete;
  MemoryBudget& operator=(const MemoryBudget&) = delete;

  Bytes limit() const { return limit_; }
  Bytes held() const { return Bytes(held_.load(std::memory_order_relaxed)); }

 private:
  friend class MemoryClaim;

  /// Takes `more` bytes for a claim of `size` bytes; false without room for them.
  bool Take(Bytes size, Bytes more) {
    const bool small = size + more <= kSmallClaim;
    const Bytes limit =
        small ? limit_ : Bytes(limit_.value() / kLargeDenominator * kLargeNumerator);
    if (held() + more > limit) return false;
    held_.fetch_add(more.value(), std::memory_order_relaxed);
    return true;
  }
  void Return(Bytes size) { held_.fetch_sub(size.value(), std::memory_order_relaxed); }

  Bytes limit_;
  std::atomic<std::uint64_t>& held_;
};

/// Part of a `MemoryBudget` that one owner uses; released with its owner.
class MemoryClaim {
 public:
  explicit MemoryClaim(MemoryBudget& budget) : budget_(&budget) {}
  ~MemoryClaim() { Release(); }
  MemoryClaim(MemoryClaim&& other) noexcept
      : budget_(other.budget_), size_(std::exchange(other.size_, Bytes())) {}
  MemoryClaim& operator=(MemoryClaim&& other) noexcept {
    std::swap(budget_, other.budget_);
    std::swap(size_, other.size_);
    return *this;
  }

  /// Adds bytes to the claim; false, and nothing is added, when the budget has no room for them.
  bool Grow(Bytes more) {
    if (!budget_->Take(size_, more)) return false;
    size_ += more;
    return true;
  }
  /// Adds the bytes by which the claim is below `size`; false when there is no room for them.
  bool GrowTo(Bytes size) { return size <= size_ || Grow(size - size_); }
  void Release() {
    budget_->Return(size_);
    size_ = Bytes();
  }

  Bytes size() const { return size_; }

 private:
  MemoryBudget* budget_;
  Bytes size_;
};

}  // namespace bamboodock
