#include "bamboodock/load/load_run.h"

#include <spdlog/fmt/fmt.h>

#include <algorithm>
#include <thread>

namespace bamboodock::load {
namespace {

Duration Quantile(std::vector<Duration> values, double quantile) {
  if (values.empty()) return {};
  const auto rank = static_cast<std::size_t>(quantile * static_cast<double>(values.size() - 1));
  std::nth_element(values.begin(), values.begin() + static_cast<std::ptrdiff_t>(rank),
                   values.end());
  return values[rank];
}

std::vector<Duration> Collect(const std::vector<StreamSample>& samples,
                              Duration StreamSample::*member) {
  std::vector<Duration> values;
  for (const StreamSample& sample : samples) {
    if (sample.complete) values.push_back(sample.*member);
  }
  return values;
}

double Milliseconds(Duration duration) {
  return std::chrono::duration<double, std::milli>(duration).count();
}

}  // namespace

Duration LoadRunReport::FirstEvent(double quantile) const {
  return Quantile(Collect(samples, &StreamSample::first_event), quantile);
}

Duration LoadRunReport::Total(double quantile) const {
  return Quantile(Collect(samples, &StreamSample::total), quantile);
}

std::uint64_t LoadRunReport::complete() const {
  return static_cast<std::uint64_t>(std::count_if(
      samples.begin(), samples.end(), [](const StreamSample& sample) { return sample.complete; }));
}

std::uint64_t LoadRunReport::events() const {
  std::uint64_t sum = 0;
  for (const StreamSample& sample : samples) sum += sample.events;
  return sum;
}

LoadRunReport RunLoad(const StreamSettings& settings, std::uint32_t streams, std::uint32_t rounds) {
  LoadRunReport report;
  // Each thread writes only to its own range of the samples, so no lock is needed.
  report.samples.resize(static_cast<std::size_t>(streams) * rounds);
  const auto begin = std::chrono::steady_clock::now();
  std::vector<std::thread> clients;
  for (std::uint32_t client = 0; client < streams; ++client) {
    clients.emplace_back([&, client] {
      for (std::uint32_t round = 0; round < rounds; ++round) {
        const std::size_t index = static_cast<std::size_t>(client) * rounds + round;
        report.samples[index] = RunStream(settings, index);
      }
    });
  }
  for (std::thread& client : clients) client.join();
  report.elapsed = std::chrono::steady_clock::now() - begin;
  return report;
}

std::string FormatTableRow(const std::string& name, std::uint32_t streams,
                           const LoadRunReport& report) {
  const double seconds = std::chrono::duration<double>(report.elapsed).count();
  return fmt::format("| {} | {} | {}/{} | {:.2f} | {:.2f} | {:.1f} | {:.1f} | {:.0f} |", name,
                     streams, report.complete(), report.samples.size(),
                     Milliseconds(report.FirstEvent(0.5)), Milliseconds(report.FirstEvent(0.95)),
                     Milliseconds(report.Total(0.5)), Milliseconds(report.Total(0.95)),
                     static_cast<double>(report.events()) / seconds);
}

}  // namespace bamboodock::load
