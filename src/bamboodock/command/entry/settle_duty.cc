#include "bamboodock/command/entry/settle_duty.h"

#include <nlohmann/json.hpp>

#include "bamboodock/codec/control_message.h"
#include "bamboodock/transport/rpc_client.h"

namespace bamboodock {

void SettleDuty::Handle(SettleCommand& command) {
  const Ref<const ConfigSnapshot> config = config_.snapshot();
  const Endpoint* endpoint =
      config->set() != nullptr ? config->set()->Find(command.endpoint) : nullptr;
  if (endpoint == nullptr) return;
  HandleFailure(
      [&]() -> Result<bool> {
        BOOST_LEAF_AUTO(address, ParseAddress(endpoint->address));
        const SettleRequest request{command.request, command.step};
        BOOST_LEAF_CHECK(
            RpcClient(address).Call("settle", ToJson(request), config::kControlTimeout));
        return true;
      },
      [](const Failure& /*failure*/) { return false; });
}

}  // namespace bamboodock
