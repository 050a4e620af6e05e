#pragma once

#include "bamboodock/experiment/report.h"

namespace bamboodock::experiment {

/// Measures the time to the first token and to the end of the answer for each endpoint chooser, on
/// both deployments.
void RunLatencyExperiment(Report& report);

}  // namespace bamboodock::experiment
