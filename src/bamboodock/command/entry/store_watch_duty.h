#pragma once

#include <optional>
#include <vector>

#include "bamboodock/codec/row_codec.h"
#include "bamboodock/command/config/config_duty.h"
#include "bamboodock/core/duty.h"
#include "bamboodock/stores/object_store.h"
#include "bamboodock/stores/table.h"
#include "bamboodock/transport/rpc_client.h"

namespace bamboodock {

/// Requests an immediate read of the head row.
struct ReadHeadCommand {};

/// Polls the store for the accepted configuration. Queries the witnesses when the store does not
/// answer or while this witness is incomplete after a restart.
class StoreWatchDuty : public Duty<StoreWatchDuty, ReadHeadCommand> {
 public:
  struct Parts {
    HostId self;
    ConfigDuty& config;
    TableQueries& table;
    ObjectQueries& objects;
    std::vector<Address> peers;
  };

  explicit StoreWatchDuty(Parts parts);
  ~StoreWatchDuty() { Stop(); }

  void Handle(ReadHeadCommand& command);
  MonotonicTime Tick();

 private:
  void Poll();
  bool ReadStore();
  Result<bool> FetchAndInstall(const HeadRow& head);
  void QueryWitness(const RpcClient& witness);

  Parts parts_;
  std::vector<RpcClient> witnesses_;
};

}  // namespace bamboodock
