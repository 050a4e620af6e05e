#pragma once

#include <utility>

#include "bamboodock/stores/internal/store_client.h"
#include "bamboodock/stores/table.h"

namespace bamboodock {

/// Client of the platform's table service.
class HttpTable final : public TableCommands, public TableQueries {
 public:
  HttpTable(Address peer, Duration timeout) : client_(std::move(peer), timeout) {}

  Result<RowVersion> Commit(const TableTransaction& transaction) override;
  Result<std::optional<TableRow>> Read(const std::string& key) override;
  Result<std::vector<TableRow>> Scan(const std::string& prefix, std::size_t limit) override;

 private:
  internal::StoreClient client_;
};

}  // namespace bamboodock
