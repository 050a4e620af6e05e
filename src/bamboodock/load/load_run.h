#pragma once

#include <string>
#include <vector>

#include "bamboodock/load/stream_client.h"

namespace bamboodock::load {

/// Samples of all streams of a run.
struct LoadReport {
  std::vector<StreamSample> samples;
  Duration elapsed{};

  /// Value below which the share `quantile` of the complete streams lies.
  Duration FirstEvent(double quantile) const;
  Duration Total(double quantile) const;
  std::uint64_t complete() const;
  std::uint64_t events() const;
};

/// Keeps `streams` streams open until each client has run `rounds` of them.
LoadReport RunLoad(const StreamSettings& settings, std::uint32_t streams, std::uint32_t rounds);

/// One line of a Markdown table.
std::string Describe(const std::string& name, std::uint32_t streams, const LoadReport& report);

}  // namespace bamboodock::load
