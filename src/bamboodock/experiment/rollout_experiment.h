#pragma once

#include "bamboodock/experiment/report.h"

namespace bamboodock::experiment {

/// Measures the bad answers until a withdrawal and the false withdrawals of each guard rule.
void RunRolloutExperiment(Report& report);

}  // namespace bamboodock::experiment
