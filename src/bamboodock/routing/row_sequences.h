#pragma once

#include <optional>

#include "bamboodock/policy/returned_row.h"

namespace bamboodock {

struct StoreRow;

/// Reads the order that the writers of rows state.
class RowSequences {
 public:
  virtual ~RowSequences() = default;

  /// Empty when the row is deleted, states no order or cannot be read.
  virtual std::optional<WriterSequence> SequenceOf(const StoreRow& row) const = 0;
};

}  // namespace bamboodock
