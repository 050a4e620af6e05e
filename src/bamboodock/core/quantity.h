#pragma once

#include <compare>
#include <cstdint>
#include <functional>
#include <ostream>

namespace bamboodock {

/// Number with a unit or an ordinal meaning given by its tag.
///
/// @tparam Tag Empty type that names the unit.
/// @tparam Rep Arithmetic type that holds the value.
template <class Tag, class Rep>
class Quantity {
 public:
  using rep = Rep;

  constexpr Quantity() = default;
  constexpr explicit Quantity(Rep value) : value_(value) {}

  constexpr Rep value() const { return value_; }

  constexpr Quantity& operator+=(Quantity other) {
    value_ += other.value_;
    return *this;
  }
  constexpr Quantity& operator-=(Quantity other) {
    value_ -= other.value_;
    return *this;
  }
  friend constexpr Quantity operator+(Quantity a, Quantity b) {
    return Quantity(a.value_ + b.value_);
  }
  friend constexpr Quantity operator-(Quantity a, Quantity b) {
    return Quantity(a.value_ - b.value_);
  }
  // clang-tidy mistakes the zero in rewritten comparisons for a null pointer.
  friend constexpr auto operator<=>(Quantity, Quantity) = default;  // NOLINT(modernize-use-nullptr)
  friend std::ostream& operator<<(std::ostream& out, Quantity q) { return out << q.value_; }

  constexpr Quantity Next() const { return Quantity(value_ + 1); }

 private:
  Rep value_{};
};

}  // namespace bamboodock

template <class Tag, class Rep>
struct std::hash<bamboodock::Quantity<Tag, Rep>> {
  std::size_t operator()(bamboodock::Quantity<Tag, Rep> q) const noexcept {
    return std::hash<Rep>{}(q.value());
  }
};
