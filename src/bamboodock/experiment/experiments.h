#pragma once

#include <string>
#include <string_view>
#include <vector>

#include "bamboodock/experiment/report.h"

namespace bamboodock::experiment {

std::vector<std::string_view> ExperimentNames();

/// Runs the experiment of that name; false when there is none.
bool RunExperiment(const std::string& name, Report& report);

}  // namespace bamboodock::experiment
