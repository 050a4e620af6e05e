#pragma once

#include <compare>
#include <cstdint>

#include "bamboodock/core/quantity.h"

namespace bamboodock {

/// Counts how often the store has returned from an older copy of its rows; 0 for a store that does
/// not say.
using StoreEra = Quantity<struct StoreEraTag, std::uint64_t>;

/// Position of a write in the history of the store.
///
/// The store gives out numbers again after it has returned from a copy, so numbers of different
/// eras say nothing about which write came first.
struct StoreRevision {
  StoreEra era;
  /// Increases with each transaction of an era; 0 stands for a row that does not exist.
  std::uint64_t number = 0;

  friend constexpr auto operator<=>(const StoreRevision&,
                                    const StoreRevision&) =
      default;  // NOLINT(modernize-use-nullptr)
};

}  // namespace bamboodock
