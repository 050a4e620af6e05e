#pragma once

#include "bamboodock/experiment/report.h"

namespace bamboodock::experiment {

/// Bad answers before a withdrawal and false withdrawals per rule.
void RunRolloutExperiment(Report& report);

}  // namespace bamboodock::experiment
