#include "bamboodock/stores/http_table.h"

namespace bamboodock {
namespace {

using nlohmann::json;

json Encode(const TableTransaction& transaction) {
  json conditions = json::array();
  for (const RowCondition& condition : transaction.conditions) {
    conditions.push_back({{"key", condition.key}, {"version", condition.version.value()}});
  }
  json puts = json::array();
  for (const RowPut& put : transaction.puts) {
    puts.push_back({{"key", put.key}, {"value", put.value}});
  }
  return {{"conditions", std::move(conditions)},
          {"puts", std::move(puts)},
          {"deletes", transaction.deletes}};
}

Result<TableRow> DecodeRow(const json& row) {
  try {
    return TableRow{row.at("key").get<std::string>(), row.at("value").get<std::string>(),
                    RowVersion(row.at("version").get<RowVersion::rep>())};
  } catch (const json::exception& error) {
    return Raise(ResultCode::kStoreUnavailable, error.what());
  }
}

}  // namespace

Result<RowVersion> HttpTable::Commit(const TableTransaction& transaction) {
  HttpRequest request;
  request.method = "POST";
  request.path = "/table/commit";
  BOOST_LEAF_ASSIGN(request.body, internal::StoreClient::Encode(Encode(transaction)));
  BOOST_LEAF_AUTO(response, client_.Write(std::move(request)));
  const json answer = internal::StoreClient::Parse(response);
  if (response.status == 200) {
    const auto version = answer.is_object() ? answer.find("version") : answer.end();
    if (version != answer.end() && version->is_number_unsigned()) {
      return RowVersion(version->get<RowVersion::rep>());
    }
    return Raise(ResultCode::kStoreAnswerLost,
                 "the table's answer to the commit has no unsigned number in field 'version'",
                 RunState::kUnknown);
  }
  if (response.status == 409) {
    const std::string key = answer.is_object() ? answer.value("key", "") : "";
    return Raise(ResultCode::kStoreConflict, key);
  }
  return Raise(ResultCode::kStoreUnavailable,
               "the table refused the commit with status " + std::to_string(response.status));
}

Result<std::optional<TableRow>> HttpTable::Read(const std::string& key) {
  BOOST_LEAF_AUTO(response, client_.Read("/table/row", "key=" + EncodeUrlComponent(key)));
  if (response.status == 404) return std::optional<TableRow>();
  BOOST_LEAF_AUTO(row, DecodeRow(internal::StoreClient::Parse(response)));
  return std::optional<TableRow>(std::move(row));
}

Result<std::vector<TableRow>> HttpTable::Scan(const std::string& prefix, std::size_t limit) {
  BOOST_LEAF_AUTO(response, client_.Read("/table/scan", "prefix=" + EncodeUrlComponent(prefix) +
                                                            "&limit=" + std::to_string(limit)));
  const json answer = internal::StoreClient::Parse(response);
  if (!answer.is_object() || !answer.contains("rows")) {
    return Raise(ResultCode::kStoreUnavailable,
                 "the table's answer to the scan has no field 'rows'");
  }
  std::vector<TableRow> rows;
  for (const json& item : answer.at("rows")) {
    BOOST_LEAF_AUTO(row, DecodeRow(item));
    rows.push_back(std::move(row));
  }
  return rows;
}

}  // namespace bamboodock
