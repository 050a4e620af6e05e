#pragma once

#include <string>
#include <vector>

#include "bamboodock/load/stream_client.h"

namespace bamboodock::load {

/// Samples of all streams of a run.
struct LoadRunReport {
  std::vector<StreamSample> samples;
  Duration elapsed{};

  /// Value below which the share `quantile` of the complete streams lies.
  Duration FirstEvent(double quantile) const;
  Duration Total(double quantile) const;
  std::uint64_t complete() const;
  std::uint64_t events() const;
};

/// Keeps `streams` streams open until each client has run `rounds` of them.
LoadRunReport RunLoad(const StreamSettings& settings, std::uint32_t streams, std::uint32_t rounds);

/// One line of a Markdown table.
std::string FormatTableRow(const std::string& name, std::uint32_t streams,
                           const LoadRunReport& report);

}  // namespace bamboodock::load
