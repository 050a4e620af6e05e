#include <cppunit/BriefTestProgressListener.h>
#include <cppunit/CompilerOutputter.h>
#include <cppunit/TestResult.h>
#include <cppunit/TestResultCollector.h>
#include <cppunit/TestRunner.h>
#include <cppunit/extensions/TestFactoryRegistry.h>

#include <iostream>
#include <string>
#include <vector>

#include "process/support/child_process.h"

/// Runs all tests, or those named as arguments, for example "bamboodock::process_test::StreamTest".
int main(int argc, char** argv) {
  CppUnit::TestResult controller;
  CppUnit::TestResultCollector collector;
  CppUnit::BriefTestProgressListener progress;
  controller.addListener(&collector);
  controller.addListener(&progress);
  CppUnit::TestRunner runner;
  runner.addTest(CppUnit::TestFactoryRegistry::getRegistry().makeTest());
  std::vector<std::string> names(argv + 1, argv + argc);
  if (names.empty()) names.emplace_back();
  for (const std::string& name : names) runner.run(controller, name);
  CppUnit::CompilerOutputter outputter(&collector, std::cerr);
  outputter.write();
  const int unexpected_exits = bamboodock::process_test::ChildProcess::unexpected_exits();
  if (unexpected_exits > 0) std::cerr << unexpected_exits << " processes exited unexpectedly\n";
  return collector.wasSuccessful() && unexpected_exits == 0 ? 0 : 1;
}
