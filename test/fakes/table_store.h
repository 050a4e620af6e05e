#pragma once

#include <atomic>
#include <chrono>
#include <condition_variable>
#include <cstdint>
#include <map>
#include <mutex>
#include <nlohmann/json.hpp>
#include <optional>
#include <string>
#include <thread>
#include <utility>

#include "fakes/base64.h"
#include "fakes/scripted_server.h"

namespace bamboodock {

/// Metadata store on loopback with listings, feeds and transactions, which can return from an older
/// copy of its rows.
///
/// Thread-safe. Clients must be stopped before it is destroyed.
class TableStore {
 public:
  using Json = nlohmann::json;

  TableStore() : server_([this](const auto& request, std::size_t) { return Answer(request); }) {}
  ~TableStore() {
    const std::lock_guard lock(mutex_);
    stopping_ = true;
    changed_.notify_all();
  }
  TableStore(const TableStore&) = delete;
  TableStore& operator=(const TableStore&) = delete;

  Address address() const { return server_.address(); }
  /// Number of calls so far.
  std::size_t calls() const { return calls_; }
  /// Leaves the header with the era out of all answers.
  void HideEra() { states_era_ = false; }

  /// Writes a row; returns its revision. The return of the call is the acknowledgement.
  std::uint64_t Put(const std::string& table, const std::string& key, const Json& value) {
    const std::lock_guard lock(mutex_);
    return Write(table, key, {ToBase64(value.dump()), false, 0});
  }
  std::uint64_t Remove(const std::string& table, const std::string& key) {
    const std::lock_guard lock(mutex_);
    return Write(table, key, {"", true, 0});
  }
  /// Assigns revisions to writes that change no row, such as heartbeats.
  void SkipRevisions(std::uint64_t count) {
    const std::lock_guard lock(mutex_);
    state_.revision += count;
  }
  std::uint64_t revision() const {
    const std::lock_guard lock(mutex_);
    return state_.revision;
  }
  /// Value of a row in base64; empty when there is none.
  std::optional<std::string> Value(const std::string& table, const std::string& key) const {
    const std::lock_guard lock(mutex_);
    const auto found = state_.rows.find({table, key});
    if (found == state_.rows.end() || found->second.deleted) return std::nullopt;
    return found->second.value;
  }

  /// Remembers the present rows for `ReturnFromCopy`.
  void TakeCopy() {
    const std::lock_guard lock(mutex_);
    copy_ = state_;
  }
  /// Replaces the rows by those of the copy and begins the next era. Calls that wait go on waiting.
  void RestoreCopy() {
    const std::lock_guard lock(mutex_);
    state_ = copy_;
    ++era_;
  }
  /// Resets the calls that wait, and each call from now on until `Return`.
  void GoAway() {
    const std::lock_guard lock(mutex_);
    away_ = true;
    ++outages_;
    changed_.notify_all();
  }
  void Return() {
    const std::lock_guard lock(mutex_);
    away_ = false;
    first_answer_.reset();
  }
  /// Is away for half a second, which all clients notice, and has the rows of the copy then.
  void GoAwayAndRestore() {
    constexpr std::chrono::milliseconds kAway{500};
    GoAway();
    RestoreCopy();
    std::this_thread::sleep_for(kAway);
  }
  /// The same, and is back.
  void ReturnFromCopy() {
    GoAwayAndRestore();
    Return();
  }
  /// When the first answer since the last return was made; empty before.
  std::optional<std::chrono::steady_clock::time_point> first_answer() const {
    const std::lock_guard lock(mutex_);
    return first_answer_;
  }

 private:
  using Request = ScriptedServer::Request;
  using ConnectionAction = ScriptedServer::ConnectionAction;

  struct Row {
    std::string value;
    bool deleted = false;
    std::uint64_t revision = 0;
  };
  struct State {
    std::uint64_t revision = 0;
    /// By table and key.
    std::map<std::pair<std::string, std::string>, Row> rows;
  };
  struct Reply {
    int status = 200;
    Json body = Json::object();
  };

  std::uint64_t Write(const std::string& table, const std::string& key, Row row) {
    row.revision = ++state_.revision;
    state_.rows[{table, key}] = std::move(row);
    changed_.notify_all();
    return state_.revision;
  }

  static std::string Parameter(const std::string& target, const std::string& name) {
    const std::size_t at = target.find(name + "=");
    if (at == std::string::npos) return {};
    const std::size_t begin = at + name.size() + 1;
    return target.substr(begin, target.find('&', begin) - begin);
  }

  Json RowsOf(const std::string& table, std::uint64_t after, bool with_deleted) const {
    std::map<std::uint64_t, Json> found;
    for (const auto& [name, row] : state_.rows) {
      if (name.first != table || row.revision <= after || (row.deleted && !with_deleted)) continue;
      Json json{{"tableName", table}, {"part", ""}, {"key", name.second}, {"ver", row.revision}};
      if (row.deleted) {
        json["isGone"] = true;
      } else {
        json["value"] = row.value;
      }
      found.emplace(row.revision, std::move(json));
    }
    Json rows = Json::array();
    for (auto& [revision, json] : found) rows.push_back(std::move(json));
    return rows;
  }

  Reply List(const std::string& target) const {
    Reply reply;
    reply.body["rows"] = RowsOf(Parameter(target, "tableName"), 0, false);
    reply.body["morePages"] = false;
    return reply;
  }

  Reply Feed(const std::string& target, std::unique_lock<std::mutex>& lock) {
    const std::string table = Parameter(target, "tableName");
    const std::uint64_t after = std::stoull(Parameter(target, "after"));
    const std::chrono::milliseconds wait(std::stoll(Parameter(target, "waitMs")));
    if (after > state_.revision) return {410, Json::object()};
    const std::uint64_t outages = outages_;
    changed_.wait_for(lock, wait, [&] {
      return outages_ != outages || stopping_ || !RowsOf(table, after, true).empty();
    });
    Reply reply;
    reply.body["rows"] = RowsOf(table, after, true);
    return reply;
  }

  Reply Transact(const Json& transaction) {
    for (const Json& expected : transaction.at("expectedRev")) {
      const auto found = state_.rows.find({expected.at("tableName"), expected.at("key")});
      const bool exists = found != state_.rows.end() && !found->second.deleted;
      const std::uint64_t revision = exists ? found->second.revision : 0;
      if (revision != expected.at("ver")) return {412, {{"rows", Json::array()}}};
    }
    for (const Json& put : transaction.at("puts")) {
      if (put.at("tableName") == "op" || put.at("tableName") == "servers") return {403};
    }
    const std::uint64_t revision = ++state_.revision;
    for (const Json& put : transaction.at("puts")) {
      state_.rows[{put.at("tableName"), put.at("key")}] = {put.at("value"), false, revision};
    }
    changed_.notify_all();
    return {};
  }

  Reply Dispatch(const Request& request, std::unique_lock<std::mutex>& lock) {
    const std::string target(request.target());
    if (target.starts_with("/-/rows-get")) return List(target);
    if (target.starts_with("/-/rows-feed")) return Feed(target, lock);
    if (target.starts_with("/-/rows-tx")) return Transact(Json::parse(request.body()));
    return {404, Json::object()};
  }

  ScriptedServer::Answer Answer(const Request& request) {
    ++calls_;
    std::unique_lock lock(mutex_);
    if (away_) return {"", ConnectionAction::kReset};
    // The store may be back before a call that waited runs again.
    const std::uint64_t outages = outages_;
    Reply reply = Dispatch(request, lock);
    if (outages_ != outages) return {"", ConnectionAction::kReset};
    if (!first_answer_) first_answer_ = std::chrono::steady_clock::now();
    reply.body["ver"] = state_.revision;
    reply.body["nowMs"] = std::chrono::duration_cast<std::chrono::milliseconds>(
                              std::chrono::steady_clock::now().time_since_epoch())
                              .count();
    const std::string text = reply.body.dump();
    const std::string era = states_era_ ? "Store-Era: " + std::to_string(era_) + "\r\n" : "";
    return {"HTTP/1.1 " + std::to_string(reply.status) +
                " X\r\nContent-Type: application/json\r\n" + era +
                "Content-Length: " + std::to_string(text.size()) + "\r\n\r\n" + text,
            ConnectionAction::kKeep};
  }

  mutable std::mutex mutex_;
  std::condition_variable changed_;
  State state_;
  State copy_;
  std::uint64_t era_ = 1;
  bool away_ = false;
  std::uint64_t outages_ = 0;
  std::optional<std::chrono::steady_clock::time_point> first_answer_;
  bool stopping_ = false;
  std::atomic<bool> states_era_{true};
  std::atomic<std::size_t> calls_{0};
  ScriptedServer server_;
};

}  // namespace bamboodock
