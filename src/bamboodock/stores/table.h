#pragma once

#include <cstdint>
#include <optional>
#include <string>
#include <vector>

#include "bamboodock/core/quantity.h"
#include "bamboodock/core/result.h"

namespace bamboodock {

/// Version of a row; zero means that the row is absent.
using RowVersion = Quantity<struct RowVersionTag, std::uint64_t>;

/// Row of the platform's table service.
struct TableRow {
  std::string key;
  std::string value;
  RowVersion version;
};

/// Precondition of a transaction: the row must have this version.
struct RowCondition {
  std::string key;
  RowVersion version;
};

struct RowPut {
  std::string key;
  std::string value;
};

/// Changes that are applied atomically if every condition holds.
struct TableTransaction {
  std::vector<RowCondition> conditions;
  std::vector<RowPut> puts;
  std::vector<std::string> deletes;
};

/// Commands of the table service.
class TableCommands {
 public:
  virtual ~TableCommands() = default;
  /// Commits a transaction and returns the new version of the rows put.
  ///
  /// Fails with `kStoreConflict` (not applied), `kStoreUnavailable` (not applied),
  /// `kStoreAnswerLost` (may have been applied; read back) or `kBadRequest` (a string is not UTF-8;
  /// not sent).
  virtual Result<RowVersion> Commit(const TableTransaction& transaction) = 0;
};

/// Queries of the table service.
class TableQueries {
 public:
  virtual ~TableQueries() = default;
  /// Reads one row; empty when absent. Fails with `kStoreUnavailable`.
  virtual Result<std::optional<TableRow>> Read(const std::string& key) = 0;
  /// Reads up to `limit` rows whose key starts with `prefix`, in key order.
  ///
  /// Fails with `kStoreUnavailable`.
  virtual Result<std::vector<TableRow>> Scan(const std::string& prefix, std::size_t limit) = 0;
};

}  // namespace bamboodock
