#include <fmt/format.h>
#include <gflags/gflags.h>

#include <charconv>
#include <fstream>
#include <sstream>
#include <string_view>
#include <utility>

#include "bamboodock/command/process/address_flags.h"
#include "bamboodock/command/process/control_signals.h"
#include "bamboodock/command/router/router_process.h"
#include "bamboodock/config/settings.h"
#include "bamboodock/observe/log.h"
#include "platform/http_wire_protocol.h"
#include "platform/platform_directory_codec.h"
#include "platform/table_store_protocol.h"

DEFINE_string(config, "", "file with one flag per line; reloaded on SIGHUP and when it changes");
DEFINE_string(host, "", "id of this host");
DEFINE_string(availability_zone, "", "availability zone of this host");
DEFINE_string(callers, "127.0.0.1:8080", "IP:PORT for callers");
DEFINE_string(readiness, "127.0.0.1:8079", "IP:PORT for the load balancer's readiness checks");
DEFINE_string(ip, "127.0.0.1", "IP address for datagrams of the other entries and for metrics");
DEFINE_string(
    internal_ports, "7340,7355",
    "first and last port that this host may use for the other entries: the first one is used for "
    "datagrams, the next one for metrics");
DEFINE_string(store, "", "IP:PORT of the platform's metadata store");
DEFINE_double(repeat_ratio, 0.9,
              "retry budget: attempts beyond the first that each request of a service adds");
DEFINE_double(repeat_extra, 50,
              "retry budget: further such attempts in a window, over all entries");
DEFINE_double(repeat_window_s, 10, "retry budget: length of the window in seconds");
DEFINE_double(exposure_share, 0.15,
              "largest share of a service's requests sent to a new version on trial");
DEFINE_double(exposure_tolerance, 30,
              "further requests to a new version on trial, over all entries");
DEFINE_double(cold_overrun, 1.5, "multiple of its cold rate that a cold endpoint tolerates");
DEFINE_double(cold_tolerance, 5,
              "further requests per second to a cold endpoint, over all entries");
DEFINE_double(revoke_ms, 5000,
              "time in milliseconds within which every entry refuses a removed API key");
DEFINE_double(session_s, 5,
              "session timeout: longest time between two requests of one session in seconds");
DEFINE_double(grace_s, 8, "longest time that a graceful shutdown may take in seconds");
DEFINE_uint32(max_answer_head_bytes, 32768, "largest head of an endpoint's answer in bytes");
DEFINE_uint32(max_answer_bytes, 4194304,
              "largest body of an endpoint's answer that is not a stream, in bytes");
DEFINE_uint32(max_event_bytes, 262144, "largest event of an endpoint's stream in bytes");
DEFINE_uint32(memory_mb, 1024, "memory of this host that the process may use, in MiB");
DEFINE_uint32(max_descriptors, 8192, "descriptors that the process may have open");
DEFINE_string(
    least_confidence, "60",
    "confidence (0 to 100) below which an answer is discarded for that of a larger model; one "
    "for each route priority from 0 on, the last one for all further priorities");
DEFINE_bool(metrics, true, "serve metrics on the internal port after the first");
DEFINE_string(log_level, "info", "debug, info, warn or error");
DEFINE_bool(check, false, "check the settings and exit");

namespace bamboodock {
namespace {

/// Maximum age of the configuration, as a fraction of `--revoke_ms`, at which API keys are still
/// checked against it.
constexpr double kMaxConfigAgeFraction = 0.75;
constexpr std::chrono::seconds kSettingsPollInterval{1};

Duration Seconds(double seconds) {
  return std::chrono::duration_cast<Duration>(std::chrono::duration<double>(seconds));
}

/// Applies the lines of the settings file that begin with '-' as arguments and returns its content.
Result<std::string> ApplySettingsFile(const std::string& path) {
  std::ifstream file(path);
  if (!file) return Raise(ResultCode::kBadSetting, "--config: cannot read " + path);
  std::vector<std::string> arguments;
  std::string content;
  for (std::string line; std::getline(file, line);) {
    content += line + "\n";
    if (!line.empty() && line.front() == '-') arguments.push_back(line);
  }
  BOOST_LEAF_CHECK(ApplySettings(arguments, {}));
  return content;
}

/// Ports of this host for the other entries and for metrics.
struct InternalPorts {
  std::uint16_t datagrams = 0;
  std::uint16_t metrics = 0;
};

Result<InternalPorts> ParseInternalPorts() {
  const std::string& text = FLAGS_internal_ports;
  const char* const end = text.data() + text.size();
  std::uint16_t first = 0;
  std::uint16_t last = 0;
  const auto comma = std::from_chars(text.data(), end, first);
  const bool has_last = comma.ec == std::errc{} && comma.ptr != end && *comma.ptr == ',';
  const auto parsed = has_last ? std::from_chars(comma.ptr + 1, end, last) : comma;
  if (!has_last || parsed.ec != std::errc{} || parsed.ptr != end || first == 0 || last <= first) {
    return Raise(ResultCode::kBadSetting,
                 "--internal_ports: '" + text + "' is not FIRST,LAST with LAST above FIRST");
  }
  return InternalPorts{first, static_cast<std::uint16_t>(first + 1)};
}

/// Checks the limits that must not be negative.
Result<void> CheckLimits() {
  const std::pair<std::string_view, double> limits[]{
      {"repeat_ratio", FLAGS_repeat_ratio},
      {"repeat_extra", FLAGS_repeat_extra},
      {"repeat_window_s", FLAGS_repeat_window_s},
      {"exposure_share", FLAGS_exposure_share},
      {"exposure_tolerance", FLAGS_exposure_tolerance},
      {"cold_overrun", FLAGS_cold_overrun},
      {"cold_tolerance", FLAGS_cold_tolerance},
      {"revoke_ms", FLAGS_revoke_ms},
      {"session_s", FLAGS_session_s},
      {"grace_s", FLAGS_grace_s},
  };
  for (const auto& [name, value] : limits) {
    if (value >= 0) continue;
    return Raise(ResultCode::kBadSetting,
                 fmt::format("--{}: {} is not a number from 0 on", name, value));
  }
  return {};
}

Result<std::vector<std::uint32_t>> ParseConfidences() {
  std::vector<std::uint32_t> values;
  std::istringstream parts(FLAGS_least_confidence);
  for (std::string part; std::getline(parts, part, ',');) {
    std::uint32_t value = 0;
    const auto [end, error] = std::from_chars(part.data(), part.data() + part.size(), value);
    if (error != std::errc{} || end != part.data() + part.size() || value > 100) {
      return Raise(ResultCode::kBadSetting,
                   "--least_confidence: '" + part + "' is not an integer from 0 to 100");
    }
    values.push_back(value);
  }
  if (values.empty()) return Raise(ResultCode::kBadSetting, "--least_confidence is empty");
  return values;
}

RouterLimits ReadLimits() {
  RouterLimits limits;
  limits.repeats = {Ratio(FLAGS_repeat_ratio), FLAGS_repeat_extra, Seconds(FLAGS_repeat_window_s)};
  limits.exposure = {Ratio(FLAGS_exposure_share), FLAGS_exposure_tolerance};
  limits.cold_overrun = FLAGS_cold_overrun;
  limits.cold_tolerance = FLAGS_cold_tolerance;
  limits.max_config_age = Seconds(kMaxConfigAgeFraction * FLAGS_revoke_ms / 1000);
  limits.session_timeout = Seconds(FLAGS_session_s);
  return limits;
}

Result<RouterSettings> ReadSettings() {
  RouterSettings settings;
  if (FLAGS_host.empty()) return Raise(ResultCode::kBadSetting, "--host is missing");
  settings.host = HostId(FLAGS_host);
  settings.availability_zone = AvailabilityZoneId(FLAGS_availability_zone);
  BOOST_LEAF_ASSIGN(settings.callers, ParseAddressFlag("callers", FLAGS_callers));
  BOOST_LEAF_ASSIGN(settings.readiness, ParseAddressFlag("readiness", FLAGS_readiness));
  BOOST_LEAF_ASSIGN(settings.store, ParseAddressFlag("store", FLAGS_store));
  BOOST_LEAF_AUTO(ports, ParseInternalPorts());
  settings.gossip = {FLAGS_ip, ports.datagrams};
  if (FLAGS_metrics) settings.metrics = Address{FLAGS_ip, ports.metrics};
  BOOST_LEAF_CHECK(CheckLimits());
  settings.limits = ReadLimits();
  BOOST_LEAF_ASSIGN(settings.limits.least_confidence, ParseConfidences());
  settings.answer_limits.head = Bytes(FLAGS_max_answer_head_bytes);
  settings.answer_limits.body = Bytes(FLAGS_max_answer_bytes);
  settings.answer_limits.event = Bytes(FLAGS_max_event_bytes);
  settings.capacity.memory = Bytes(std::uint64_t{FLAGS_memory_mb} << 20U);
  settings.capacity.descriptors = FLAGS_max_descriptors;
  settings.grace = Seconds(FLAGS_grace_s);
  return settings;
}

Result<RouterSettings> LoadSettings(std::string& content) {
  if (!FLAGS_config.empty()) {
    BOOST_LEAF_ASSIGN(content, ApplySettingsFile(FLAGS_config));
  }
  return ReadSettings();
}

/// Applies the settings file when it has changed; logs an unreadable or invalid file and skips it.
void ReloadIfChanged(RouterProcess& process, std::string& content) {
  if (FLAGS_config.empty()) return;
  HandleFailure(
      [&]() -> Result<void> {
        std::string new_content;
        BOOST_LEAF_AUTO(settings, LoadSettings(new_content));
        if (new_content == content) return {};
        content = new_content;
        process.Reload(settings);
        return {};
      },
      [](const Failure& failure) {
        LogEvent(Event::kSettingsReloaded, RequestId(), "settings not reloaded: " + failure.detail);
      });
}

int RunRouter() {
  return HandleFailure(
      []() -> Result<int> {
        std::string content;
        BOOST_LEAF_AUTO(settings, LoadSettings(content));
        if (FLAGS_check) return 0;
        BlockControlSignals();
        InitLog(settings.host.value(), FLAGS_log_level);
        const platform::HttpWireProtocol wire;
        const platform::PlatformDirectoryCodec directory;
        const platform::TableStoreProtocol store;
        BOOST_LEAF_AUTO(process, RouterProcess::Start(settings, {wire, directory, store}));
        while (WaitForControlSignal(kSettingsPollInterval) != ControlSignal::kStop) {
          ReloadIfChanged(*process, content);
        }
        process->Stop();
        CloseLog();
        return 0;
      },
      [](const Failure& failure) { return ReportInvalidSetting(failure.detail); });
}

}  // namespace
}  // namespace bamboodock

int main(int argc, char** argv) {
  const auto exit_code = bamboodock::ParseSettings(
      &argc, &argv,
      "Routes requests of callers to endpoints, as configured in the platform's store.");
  return exit_code ? *exit_code : bamboodock::RunRouter();
}
