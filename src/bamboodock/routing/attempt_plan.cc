#include "bamboodock/routing/attempt_plan.h"

#include <array>

namespace bamboodock {
namespace {

constexpr std::array<std::string_view, 5> kReasonNames{"first", "not_run", "failed", "next_model",
                                                       "resume"};
constexpr std::array<std::string_view, 8> kOutcomeNames{
    "good", "failure", "refused", "wrong_endpoint", "unreachable", "broken", "silent", "cancelled"};

}  // namespace

std::string_view Name(PlanReason reason) {
  return kReasonNames.at(static_cast<std::size_t>(reason));
}

std::string_view Name(AttemptOutcome outcome) {
  return kOutcomeNames.at(static_cast<std::size_t>(outcome));
}

}  // namespace bamboodock
