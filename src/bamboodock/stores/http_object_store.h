#pragma once

#include <utility>

#include "bamboodock/stores/internal/store_client.h"
#include "bamboodock/stores/object_store.h"

namespace bamboodock {

/// Client of the platform's object store.
class HttpObjectStore final : public ObjectCommands, public ObjectQueries {
 public:
  HttpObjectStore(Address peer, Duration timeout) : client_(std::move(peer), timeout) {}

  Result<void> Put(const ObjectHash& hash, const std::string& bytes) override;
  Result<std::string> Load(const ObjectHash& hash) override;

 private:
  internal::StoreClient client_;
};

}  // namespace bamboodock
