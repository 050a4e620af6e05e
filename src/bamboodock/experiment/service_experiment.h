#pragma once

#include "bamboodock/experiment/report.h"

namespace bamboodock::experiment {

/// Measures refused, late and lost requests while an availability zone leaves and returns, and
/// while the store is down.
void RunServiceExperiment(Report& report);

}  // namespace bamboodock::experiment
