#include "process/support/host_check.h"

#include <cppunit/TestAssert.h>

#include <string>

namespace bamboodock::process_test {

void AwaitSteadyMemory(SingleRouter& router) {
  constexpr int kSteadyPolls = 25;
  Bytes peak;
  int steady = 0;
  WaitFor([&] {
    const Bytes now = router.process().PeakMemory();
    steady = now == peak ? steady + 1 : 0;
    peak = now;
    return steady >= kSteadyPolls;
  });
}

void CheckHost(SingleRouter& router, const SmallHost& host) {
  constexpr std::size_t kMegabyte = 1U << 20U;
  CPPUNIT_ASSERT_MESSAGE("the router has ended", router.process().IsRunning());
  const std::uint64_t memory = router.process().PeakMemory().value();
  CPPUNIT_ASSERT_MESSAGE("peak memory in bytes: " + std::to_string(memory),
                         memory <= host.memory_mb * kMegabyte);
  const std::size_t descriptors = router.process().OpenDescriptors();
  CPPUNIT_ASSERT_MESSAGE("open descriptors: " + std::to_string(descriptors),
                         descriptors <= host.descriptors);
}

}  // namespace bamboodock::process_test
