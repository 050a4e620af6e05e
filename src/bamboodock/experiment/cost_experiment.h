#pragma once

#include "bamboodock/experiment/report.h"

namespace bamboodock::experiment {

/// Cost against quality per version strategy, on both deployments.
void RunCostExperiment(Report& report);

}  // namespace bamboodock::experiment
