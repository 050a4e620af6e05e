#pragma once

#include <cstdint>
#include <optional>

#include "bamboodock/core/units.h"

namespace bamboodock {

enum class AnswerVerdict : std::uint8_t { kAccept, kEscalate };

/// What the check knows about a complete answer.
struct AnswerFacts {
  Tokens completion;
  /// Empty when the engine gave no log probabilities.
  std::optional<Ratio> mean_token_probability;
};

/// Accepts an answer or asks for a better version, by its mean token probability.
class AnswerCheck {
 public:
  explicit AnswerCheck(Ratio accept_confidence) : accept_confidence_(accept_confidence) {}

  /// An empty answer is escalated. One without log probabilities is accepted: escalating all of
  /// them would turn an engine without that feature into a second call for every request.
  AnswerVerdict Check(const AnswerFacts& answer) const {
    if (answer.completion == Tokens(0)) return AnswerVerdict::kEscalate;
    if (!answer.mean_token_probability) return AnswerVerdict::kAccept;
    return *answer.mean_token_probability >= accept_confidence_ ? AnswerVerdict::kAccept
                                                                : AnswerVerdict::kEscalate;
  }

 private:
  Ratio accept_confidence_;
};

}  // namespace bamboodock
