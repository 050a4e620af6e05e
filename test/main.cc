#include <cppunit/CompilerOutputter.h>
#include <cppunit/TestResult.h>
#include <cppunit/TestResultCollector.h>
#include <cppunit/TestRunner.h>
#include <cppunit/extensions/TestFactoryRegistry.h>

#include <iostream>
#include <string>

/// Runs all tests, or the suite or test that the argument names, for example
/// "bamboodock::StoreDutyTest".
int main(int argc, char** argv) {
  CppUnit::TestResult controller;
  CppUnit::TestResultCollector collector;
  controller.addListener(&collector);
  CppUnit::TestRunner runner;
  runner.addTest(CppUnit::TestFactoryRegistry::getRegistry().makeTest());
  runner.run(controller, argc > 1 ? argv[1] : "");
  CppUnit::CompilerOutputter outputter(&collector, std::cerr);
  outputter.setNoWrap();
  outputter.write();
  return collector.wasSuccessful() ? 0 : 1;
}
