#include <gflags/gflags.h>

#include <iostream>
#include <string>

#include "bamboodock/experiment/experiments.h"

DEFINE_string(experiment, "", "Experiment to run; when empty, lists the experiments.");
DEFINE_string(csv_directory, "",
              "Directory for the tables as CSV files; none are written when empty.");

int main(int argc, char** argv) {
  gflags::SetUsageMessage("Runs policy experiments over generated request traces.");
  gflags::ParseCommandLineFlags(&argc, &argv, true);
  bamboodock::experiment::Report report(std::cout, FLAGS_csv_directory);
  if (bamboodock::experiment::RunExperiment(FLAGS_experiment, report)) return 0;
  std::cerr << "--experiment must be one of:";
  for (const auto& name : bamboodock::experiment::ExperimentNames()) std::cerr << ' ' << name;
  std::cerr << '\n';
  return 2;
}
