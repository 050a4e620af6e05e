#include "bamboodock/policy/version_strategy.h"

#include "bamboodock/policy/best_step_chooser.h"
#include "bamboodock/policy/cascade_chooser.h"
#include "bamboodock/policy/cheapest_step_chooser.h"
#include "bamboodock/policy/threshold_chooser.h"

namespace bamboodock {
namespace {

template <class Chooser>
std::unique_ptr<VersionChooser> Make() {
  return std::make_unique<Chooser>();
}

struct StrategyRow {
  std::string_view name;
  std::unique_ptr<VersionChooser> (*make)();
};

/// Rows in the order of `VersionStrategy`.
constexpr std::array<StrategyRow, kVersionStrategies.size()> kRows = {{
    {"cascade", &Make<CascadeChooser>},
    {"always_best", &Make<BestStepChooser>},
    {"always_cheapest", &Make<CheapestStepChooser>},
    {"fixed_threshold", &Make<ThresholdChooser>},
}};

const StrategyRow& Row(VersionStrategy strategy) {
  return kRows.at(static_cast<std::size_t>(strategy));
}

}  // namespace

std::string_view Name(VersionStrategy strategy) { return Row(strategy).name; }

std::unique_ptr<VersionChooser> MakeVersionChooser(VersionStrategy strategy) {
  return Row(strategy).make();
}

}  // namespace bamboodock
