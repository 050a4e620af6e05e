#pragma once

#include <cstdint>
#include <thread>
#include <vector>

namespace bamboodock::experiment {

/// Calls `run` with the seeds 1 to `count` on 4 threads. Results are in the order of the seeds, so
/// that they do not depend on the scheduling of the threads. `run` must be safe to call from
/// several threads.
template <class Run>
auto RunSeeds(std::uint64_t count, const Run& run) {
  constexpr std::uint64_t kThreads = 4;
  std::vector<decltype(run(std::uint64_t{1}))> results(count);
  std::vector<std::thread> threads;
  for (std::uint64_t first = 0; first < kThreads; ++first) {
    threads.emplace_back([&, first] {
      for (std::uint64_t i = first; i < count; i += kThreads) results[i] = run(i + 1);
    });
  }
  for (std::thread& thread : threads) thread.join();
  return results;
}

}  // namespace bamboodock::experiment
