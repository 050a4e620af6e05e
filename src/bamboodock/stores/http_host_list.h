#pragma once

#include <utility>

#include "bamboodock/stores/host_list.h"
#include "bamboodock/stores/internal/store_call.h"

namespace bamboodock {

/// Client of the platform's list of hosts.
class HttpHostList final : public HostQueries {
 public:
  HttpHostList(Address peer, Duration timeout) : call_(std::move(peer), timeout) {}

  Result<std::vector<HostRecord>> Hosts() override;

 private:
  internal::StoreCall call_;
};

}  // namespace bamboodock
