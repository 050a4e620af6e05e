#include <gflags/gflags.h>

#include <sstream>

#include "bamboodock/command/entry/entry_process.h"
#include "bamboodock/command/process/address_flags.h"
#include "bamboodock/command/process/run_process.h"
#include "bamboodock/config/settings.h"

DEFINE_string(host, "", "id of this host");
DEFINE_string(availability_zone, "", "availability zone of this host");
DEFINE_string(callers, "127.0.0.1:8080", "IP:PORT for callers");
DEFINE_string(operators, "127.0.0.1:8081", "IP:PORT for operators");
DEFINE_string(rpc, "127.0.0.1:8082", "IP:PORT for sidecars and other entries");
DEFINE_string(peers, "",
              "the other entries as HOST=RPC_IP:PORT/OPERATOR_IP:PORT[,...]; all entries must be "
              "given the same set of entries");
DEFINE_string(platform, "", "IP:PORT of the platform's services");
DEFINE_string(
    signing_key, "",
    "secret that signs session and request tokens, at least 16 bytes, the same at all entries");
DEFINE_uint32(connections, 512, "caller connections served at the same time");
DEFINE_string(log_level, "info", "debug, info, warn or error");
DEFINE_bool(check, false, "check the settings and exit");

namespace bamboodock {
namespace {

constexpr std::size_t kMinKeyBytes = 16;

Result<PeerEntry> ParsePeer(const std::string& text) {
  const std::size_t equals = text.find('=');
  const std::size_t slash = text.find('/');
  if (equals == std::string::npos || slash == std::string::npos || slash < equals) {
    return Raise(ResultCode::kBadSetting,
                 "--peers: '" + text + "' is not HOST=RPC_IP:PORT/OPERATOR_IP:PORT");
  }
  PeerEntry peer;
  peer.host = HostId(text.substr(0, equals));
  BOOST_LEAF_ASSIGN(peer.rpc, ParseAddress(text.substr(equals + 1, slash - equals - 1)));
  BOOST_LEAF_ASSIGN(peer.operators, ParseAddress(text.substr(slash + 1)));
  return peer;
}

Result<EntrySettings> ReadSettings() {
  EntrySettings settings;
  if (FLAGS_host.empty()) return Raise(ResultCode::kBadSetting, "--host is missing");
  settings.host = HostId(FLAGS_host);
  settings.availability_zone = AvailabilityZoneId(FLAGS_availability_zone);
  BOOST_LEAF_ASSIGN(settings.callers, ParseAddressFlag("callers", FLAGS_callers));
  BOOST_LEAF_ASSIGN(settings.operators, ParseAddressFlag("operators", FLAGS_operators));
  BOOST_LEAF_ASSIGN(settings.rpc, ParseAddressFlag("rpc", FLAGS_rpc));
  BOOST_LEAF_ASSIGN(settings.platform, ParseAddressFlag("platform", FLAGS_platform));
  std::istringstream peers(FLAGS_peers);
  std::string part;
  while (std::getline(peers, part, ',')) {
    BOOST_LEAF_AUTO(peer, ParsePeer(part));
    settings.peers.push_back(peer);
  }
  if (FLAGS_signing_key.size() < kMinKeyBytes) {
    return Raise(ResultCode::kBadSetting, "--signing_key must have at least 16 bytes");
  }
  settings.signing_key = FLAGS_signing_key;
  settings.connections = Concurrency(FLAGS_connections);
  return settings;
}

int RunEntry() {
  const auto process_name = [](const EntrySettings& settings) { return settings.host.value(); };
  return RunProcess<EntryProcess>(ReadSettings, process_name, FLAGS_log_level, FLAGS_check);
}

}  // namespace
}  // namespace bamboodock

int main(int argc, char** argv) {
  const auto exit_code = bamboodock::ParseSettings(
      &argc, &argv, "Serves callers and operators and routes requests to endpoints.");
  return exit_code ? *exit_code : bamboodock::RunEntry();
}
