#include <fstream>
#include <iostream>
#include <string>

#include "bamboodock/replay/replayer.h"

namespace {

using bamboodock::Failure;
using bamboodock::ReplayReport;
using bamboodock::Result;

Result<ReplayReport> ReplayFile(const std::string& file) {
  std::ifstream in(file);
  if (!in) return bamboodock::Raise(bamboodock::ResultCode::kNotFound, "cannot read the trace");
  BOOST_LEAF_AUTO(trace, bamboodock::ReadTrace(in));
  return bamboodock::Replay(trace);
}

/// Replays one file and prints its outcome; false on a mismatch, a malformed trace or a trace
/// without expectations.
bool ReplayAndReport(const std::string& file) {
  return bamboodock::HandleFailure(
      [&]() -> Result<bool> {
        Result<ReplayReport> result = ReplayFile(file);
        if (!result) return result.error();
        const ReplayReport& report = *result;
        for (const auto& mismatch : report.mismatches) {
          std::cerr << file << ":" << mismatch.line << ": expected \"" << mismatch.expected
                    << "\", got \"" << mismatch.actual << "\"\n";
        }
        if (report.expectations == 0) std::cerr << file << ": the trace has no expectations\n";
        std::cout << file << ": " << report.events << " events, " << report.expectations
                  << " expectations, " << report.mismatches.size() << " mismatches\n";
        return report.mismatches.empty() && report.expectations > 0;
      },
      [&](const Failure& failure) {
        std::cerr << file << ": " << failure.detail << "\n";
        return false;
      });
}

}  // namespace

int main(int argc, char** argv) {
  if (argc < 2) {
    std::cerr << "usage: bamboodock-replay TRACE...\n";
    return 2;
  }
  bool all_passed = true;
  for (int i = 1; i < argc; ++i) all_passed = ReplayAndReport(argv[i]) && all_passed;
  return all_passed ? 0 : 1;
}
