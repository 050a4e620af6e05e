#pragma once

#include <nlohmann/json.hpp>
#include <string>
#include <vector>

#include "fakes/scripted_server.h"

namespace bamboodock::process_test {

/// Metadata store with fixed rows, for a router that runs as a process of its own.
///
/// Listings return the rows of a table. Feeds never report a change and accept every write.
class FakeStore {
 public:
  FakeStore();

  /// Adds a row; to be called before the router starts.
  void AddRow(const std::string& table, const std::string& key, const nlohmann::json& value);
  Address address() const { return server_.address(); }

 private:
  struct Row {
    std::string table;
    nlohmann::json json;
  };

  ScriptedServer::Answer Answer(const ScriptedServer::Request& request) const;

  std::vector<Row> rows_;
  ScriptedServer server_;
};

}  // namespace bamboodock::process_test
