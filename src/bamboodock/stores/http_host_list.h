#pragma once

#include <utility>

#include "bamboodock/stores/host_list.h"
#include "bamboodock/stores/internal/store_client.h"

namespace bamboodock {

/// Client of the platform's list of hosts.
class HttpHostList final : public HostQueries {
 public:
  HttpHostList(Address peer, Duration timeout) : client_(std::move(peer), timeout) {}

  Result<std::vector<HostRecord>> Hosts() override;

 private:
  internal::StoreClient client_;
};

}  // namespace bamboodock
