#pragma once

#include <compare>
#include <functional>
#include <ostream>
#include <string>
#include <utility>

namespace bamboodock {

/// Identifier whose type differs from that of identifiers of another kind, so that the compiler
/// rejects a mix-up.
///
/// @tparam Tag Empty type that names the kind.
template <class Tag>
class StrongId {
 public:
  StrongId() = default;
  explicit StrongId(std::string value) : value_(std::move(value)) {}

  const std::string& value() const { return value_; }
  bool empty() const { return value_.empty(); }

  friend auto operator<=>(const StrongId&,
                          const StrongId&) = default;  // NOLINT(modernize-use-nullptr)
  friend std::ostream& operator<<(std::ostream& out, const StrongId& id) {
    return out << id.value_;
  }

 private:
  std::string value_;
};

}  // namespace bamboodock

template <class Tag>
struct std::hash<bamboodock::StrongId<Tag>> {
  std::size_t operator()(const bamboodock::StrongId<Tag>& id) const noexcept {
    return std::hash<std::string>{}(id.value());
  }
};
