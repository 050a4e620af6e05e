#pragma once

#include "bamboodock/experiment/report.h"

namespace bamboodock::experiment {

/// Time to the first token and in all per endpoint chooser, on both deployments.
void RunLatencyExperiment(Report& report);

}  // namespace bamboodock::experiment
