#pragma once

#include <utility>

#include "bamboodock/stores/internal/store_client.h"
#include "bamboodock/stores/weight_store.h"

namespace bamboodock {

/// Client of the platform's weight store.
class HttpWeightStore final : public WeightQueries {
 public:
  HttpWeightStore(Address peer, Duration timeout) : client_(std::move(peer), timeout) {}

  Result<std::string> Load(const WeightName& name) override;

 private:
  internal::StoreClient client_;
};

}  // namespace bamboodock
