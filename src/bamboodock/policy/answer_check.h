#pragma once

#include <cstdint>
#include <optional>

#include "bamboodock/core/units.h"

namespace bamboodock {

enum class AnswerVerdict : std::uint8_t { kAccept, kEscalate };

/// Properties of a complete answer that decide the check.
struct AnswerStatistics {
  Tokens completion;
  /// Empty when the engine sent no log probabilities.
  std::optional<Ratio> mean_token_probability;
};

/// Accepts an answer or escalates the request to a better version, by mean token probability.
class AnswerCheck {
 public:
  explicit AnswerCheck(Ratio accept_confidence) : accept_confidence_(accept_confidence) {}

  /// An empty answer is escalated. An answer without log probabilities is accepted: escalation
  /// would cost a second call for every request to an engine without that feature.
  AnswerVerdict Check(const AnswerStatistics& answer) const {
    if (answer.completion == Tokens(0)) return AnswerVerdict::kEscalate;
    if (!answer.mean_token_probability) return AnswerVerdict::kAccept;
    return *answer.mean_token_probability >= accept_confidence_ ? AnswerVerdict::kAccept
                                                                : AnswerVerdict::kEscalate;
  }

 private:
  Ratio accept_confidence_;
};

}  // namespace bamboodock
