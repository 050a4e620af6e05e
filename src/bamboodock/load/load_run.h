#pragma once

#include <string>
#include <vector>

#include "bamboodock/load/stream_client.h"

namespace bamboodock::load {

/// Samples of all streams of a load run.
struct LoadRunReport {
  std::vector<StreamSample> samples;
  Duration elapsed{};

  /// Quantile, in [0, 1], of the time to the first event over the complete streams; zero when there
  /// are none.
  Duration FirstEvent(double quantile) const;
  /// The same quantile of the total time.
  Duration Total(double quantile) const;
  std::uint64_t complete() const;
  std::uint64_t events() const;
};

/// Runs `streams` clients in parallel, one thread each, that open `rounds` streams one after
/// another. Blocks until all have ended.
LoadRunReport RunLoad(const StreamSettings& settings, std::uint32_t streams, std::uint32_t rounds);

/// Formats the report as a row of a Markdown table: name, streams, complete/all, time to the first
/// event (median and 95th percentile, ms), total time (likewise), events per second.
std::string FormatTableRow(const std::string& name, std::uint32_t streams,
                           const LoadRunReport& report);

}  // namespace bamboodock::load
