#pragma once

#include "process/support/single_router.h"

namespace bamboodock::process_test {

/// Waits until the router has read what a crowd sent, as far as it does.
void AwaitSteadyMemory(SingleRouter& router);

/// Fails the test unless the router lives within the memory and the descriptors of its host.
void CheckHost(SingleRouter& router, const SmallHost& host);

}  // namespace bamboodock::process_test
