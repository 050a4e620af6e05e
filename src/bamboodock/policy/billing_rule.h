#pragma once

#include <cstdint>
#include <optional>

#include "bamboodock/policy/billing_record.h"

namespace bamboodock {

/// Process that holds a record until its write is confirmed.
enum class BillingHolder : std::uint8_t { kEntry, kSidecar };

/// Action of a holder after it has read the row.
enum class BillingRowAction : std::uint8_t {
  /// Write the record on the condition that the row has not changed since it was read.
  kWrite,
  /// The row holds this step or a later one, so the record is confirmed.
  kConfirmed,
};

enum class BillingWriteOutcome : std::uint8_t { kWritten, kConflict, kNotSent, kAnswerLost };

/// Action of a holder after its write.
enum class BillingNextAction : std::uint8_t { kConfirmed, kReadAgain, kWait };

/// Decides when a holder writes the billing record of a request and which stored record it
/// replaces.
class BillingRule {
 public:
  /// @param settle_timeout Time after which a sidecar writes a record that the entry has not
  /// confirmed.
  explicit BillingRule(Duration settle_timeout) : settle_timeout_(settle_timeout) {}

  /// Earliest time at which a holder that received the record at `received` writes it.
  MonotonicTime WriteAt(BillingHolder holder, MonotonicTime received) const;
  /// A stored record is replaced only by one of a later step, so writes are idempotent.
  static BillingRowAction OnRow(const std::optional<BillingRecord>& stored,
                                const BillingRecord& own);
  static BillingNextAction OnWrite(BillingWriteOutcome outcome);

 private:
  Duration settle_timeout_;
};

}  // namespace bamboodock
