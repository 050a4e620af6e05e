#pragma once

#include <string>
#include <string_view>
#include <vector>

#include "bamboodock/experiment/report.h"

namespace bamboodock::experiment {

std::vector<std::string_view> ExperimentNames();

/// Runs the experiment `name` and writes its results to `report`; false when none has that name.
bool RunExperiment(const std::string& name, Report& report);

}  // namespace bamboodock::experiment
