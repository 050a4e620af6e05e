#include "bamboodock/observe/latency_summary.h"

#include <spdlog/fmt/fmt.h>

#include <array>

namespace bamboodock {
namespace {

constexpr std::array<double, 3> kQuantiles{0.5, 0.95, 0.99};
// The P-square estimate is meaningless with fewer samples than markers.
constexpr std::size_t kMinSamples = 2 * kQuantiles.size() + 3;

}  // namespace

LatencySummary::LatencySummary()
    : statistics_(boost::accumulators::tag::extended_p_square::probabilities = kQuantiles) {}

void LatencySummary::Add(Duration duration) {
  statistics_(std::chrono::duration<double>(duration).count());
}

std::string LatencySummary::Prometheus(const std::string& name, const std::string& labels) const {
  const std::string separator = labels.empty() ? "" : ",";
  std::string text = fmt::format("# TYPE {} summary\n", name);
  const std::size_t count = boost::accumulators::count(statistics_);
  if (count >= kMinSamples) {
    for (std::size_t i = 0; i < kQuantiles.size(); ++i) {
      text += fmt::format(
          "{}{{{}{}quantile=\"{}\"}} {:.6f}\n", name, labels, separator, kQuantiles.at(i),
          boost::accumulators::extended_p_square(statistics_)[static_cast<std::ptrdiff_t>(i)]);
    }
  }
  const std::string braces = labels.empty() ? "" : "{" + labels + "}";
  text += fmt::format("{}_sum{} {:.6f}\n", name, braces, boost::accumulators::sum(statistics_));
  return text + fmt::format("{}_count{} {}\n", name, braces, count);
}

}  // namespace bamboodock
