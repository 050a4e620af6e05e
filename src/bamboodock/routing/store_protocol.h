#pragma once

#include <chrono>
#include <string>
#include <vector>

#include "bamboodock/core/result.h"
#include "bamboodock/routing/directory.h"
#include "bamboodock/transport/http_types.h"

namespace bamboodock {

/// Requests and answers of the platform's store; implemented by an adapter.
class StoreProtocol {
 public:
  virtual ~StoreProtocol() = default;

  /// Rows of a table from `from_key` on, as of one moment.
  virtual HttpRequest List(const std::string& table, const std::string& from_key) const = 0;
  /// Rows that change after `revision`; answered when there is one, or after `wait`.
  virtual HttpRequest Feed(const std::string& table, std::uint64_t revision,
                           std::chrono::milliseconds wait) const = 0;
  /// Applies all writes or none.
  virtual HttpRequest Transact(const std::vector<RowWrite>& writes) const = 0;

  /// Fails with `kStoreUnavailable` when the store refused or did nothing, `kHistoryLost` when the
  /// table must be listed again, `kStoreConflict` when a condition did not hold, `kBadMessage`
  /// when the answer cannot be read.
  virtual Result<StoreAnswer> ReadAnswer(const HttpResponse& response) const = 0;
};

}  // namespace bamboodock
