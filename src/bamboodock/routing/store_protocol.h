#pragma once

#include <chrono>
#include <optional>
#include <string>
#include <vector>

#include "bamboodock/core/result.h"
#include "bamboodock/core/store_revision.h"
#include "bamboodock/routing/directory_codec.h"
#include "bamboodock/transport/http_types.h"

namespace bamboodock {

/// Encodes requests to the platform's store and decodes its answers; implemented by an adapter.
class StoreProtocol {
 public:
  virtual ~StoreProtocol() = default;

  /// Reads a consistent snapshot of the rows of a table from `from_key` on.
  virtual HttpRequest List(const std::string& table, const std::string& from_key) const = 0;
  /// Long poll for rows that change after `revision`; answered on the first change or after `wait`.
  virtual HttpRequest Feed(const std::string& table, StoreRevision revision,
                           std::chrono::milliseconds wait) const = 0;
  /// Applies all writes atomically, or none.
  virtual HttpRequest Transact(const std::vector<RowWrite>& writes) const = 0;

  /// Fails with `kStoreUnavailable` when the store refused the request or did not apply it,
  /// `kHistoryLost` when the table must be listed again, `kStoreConflict` when a condition did not
  /// hold, and `kBadMessage` when the answer is malformed.
  ///
  /// @param era Present era of the store, which the revisions of the answer belong to.
  virtual Result<StoreAnswer> DecodeAnswer(const HttpResponse& response, StoreEra era) const = 0;

  /// Era that an answer states, whatever its status; empty when it states none that can be read.
  virtual std::optional<StoreEra> EraOf(const HttpResponse& response) const = 0;
};

}  // namespace bamboodock
