#pragma once

#include <cstdint>
#include <optional>

#include "bamboodock/policy/billing_record.h"

namespace bamboodock {

/// Which process holds a record until its write is confirmed.
enum class BillingHolder : std::uint8_t { kEntry, kSidecar };

/// What a holder does with its record after it has read the row.
enum class BillingStep : std::uint8_t {
  /// Write on the condition that the row is as read.
  kWrite,
  /// The row holds this step or a later one: the record is confirmed.
  kConfirmed,
};

enum class BillingWriteOutcome : std::uint8_t { kWritten, kConflict, kNotSent, kAnswerLost };

/// What a holder does after its write.
enum class BillingNext : std::uint8_t { kConfirmed, kReadAgain, kWait };

/// Decides who writes the billing record of a request, when, and over which stored record.
class BillingRule {
 public:
  /// @param settle_limit Time after which a sidecar writes a record that the entry has not settled.
  explicit BillingRule(Duration settle_limit) : settle_limit_(settle_limit) {}

  /// Earliest time at which a holder that got the record at `received` writes it.
  MonotonicTime WriteAt(BillingHolder holder, MonotonicTime received) const;
  /// A stored record is replaced only by a later step, so a second write of a step changes nothing.
  static BillingStep OnRow(const std::optional<BillingRecord>& stored, const BillingRecord& own);
  static BillingNext OnWrite(BillingWriteOutcome outcome);

 private:
  Duration settle_limit_;
};

}  // namespace bamboodock
