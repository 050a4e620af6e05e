#include "bamboodock/experiment/experiments.h"

#include <array>

#include "bamboodock/experiment/cost_experiment.h"
#include "bamboodock/experiment/latency_experiment.h"
#include "bamboodock/experiment/rollout_experiment.h"
#include "bamboodock/experiment/service_experiment.h"

namespace bamboodock::experiment {
namespace {

struct ExperimentRow {
  std::string_view name;
  void (*run)(Report&);
};

constexpr std::array kRows = {
    ExperimentRow{"cost", &RunCostExperiment},
    ExperimentRow{"latency", &RunLatencyExperiment},
    ExperimentRow{"rollout", &RunRolloutExperiment},
    ExperimentRow{"service", &RunServiceExperiment},
};

}  // namespace

std::vector<std::string_view> ExperimentNames() {
  std::vector<std::string_view> names;
  names.reserve(kRows.size());
  for (const ExperimentRow& row : kRows) names.push_back(row.name);
  return names;
}

bool RunExperiment(const std::string& name, Report& report) {
  for (const ExperimentRow& row : kRows) {
    if (row.name != name) continue;
    row.run(report);
    return true;
  }
  return false;
}

}  // namespace bamboodock::experiment
