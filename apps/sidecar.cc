#include <gflags/gflags.h>

#include "bamboodock/command/process/address_flags.h"
#include "bamboodock/command/process/run_process.h"
#include "bamboodock/command/sidecar/sidecar_process.h"
#include "bamboodock/config/settings.h"

DEFINE_string(endpoint, "", "id of the endpoint that this process serves");
DEFINE_string(listen, "127.0.0.1:7101", "IP:PORT of the message and RPC server");
DEFINE_string(upstream, "", "IP:PORT of the endpoint");
DEFINE_string(entries, "", "RPC addresses of the entries, IP:PORT[,IP:PORT...]");
DEFINE_string(platform, "", "IP:PORT of the platform's services");
DEFINE_uint32(connections, 128, "connections served at the same time");
DEFINE_uint32(runners, 64, "endpoint calls run at the same time");
DEFINE_string(log_level, "info", "debug, info, warn or error");
DEFINE_bool(check, false, "check the settings and exit");

namespace bamboodock {
namespace {

Result<SidecarSettings> ReadSettings() {
  SidecarSettings settings;
  if (FLAGS_endpoint.empty()) return Raise(ResultCode::kBadSetting, "--endpoint is missing");
  settings.endpoint = EndpointId(FLAGS_endpoint);
  BOOST_LEAF_ASSIGN(settings.listen, ParseAddressFlag("listen", FLAGS_listen));
  BOOST_LEAF_ASSIGN(settings.upstream, ParseAddressFlag("upstream", FLAGS_upstream));
  BOOST_LEAF_ASSIGN(settings.entries, ParseAddressListFlag("entries", FLAGS_entries));
  BOOST_LEAF_ASSIGN(settings.platform, ParseAddressFlag("platform", FLAGS_platform));
  settings.connections = Concurrency(FLAGS_connections);
  settings.runners = Concurrency(FLAGS_runners);
  return settings;
}

int RunSidecar() {
  const auto process_name = [](const SidecarSettings& settings) {
    return settings.endpoint.value();
  };
  return RunProcess<SidecarProcess>(ReadSettings, process_name, FLAGS_log_level, FLAGS_check);
}

}  // namespace
}  // namespace bamboodock

int main(int argc, char** argv) {
  const auto exit_code = bamboodock::ParseSettings(
      &argc, &argv, "Runs beside one endpoint and controls the admission of its requests.");
  return exit_code ? *exit_code : bamboodock::RunSidecar();
}
