// Stand-in of the platform's metadata store: rows, feed and transactions, as PROTOCOL.md has them,
// and the drill of the news pages (copy, return from the copy, Store-Era).
#pragma once

#include <condition_variable>
#include <nlohmann/json.hpp>

#include "net.h"

namespace review {

using Json = nlohmann::json;

inline std::string ToBase64(const std::string& text) {
  static const char* kDigits = "ABCDEFGHIJKLMNOPQRSTUVWXYZabcdefghijklmnopqrstuvwxyz0123456789+/";
  std::string out;
  for (std::size_t i = 0; i < text.size(); i += 3) {
    std::uint32_t bits = 0;
    for (std::size_t j = 0; j < 3; ++j) {
      bits = bits << 8 | (i + j < text.size() ? static_cast<unsigned char>(text[i + j]) : 0);
    }
    for (std::size_t j = 0; j < 4; ++j) {
      out += i + j <= text.size() ? kDigits[bits >> (18 - 6 * j) & 63] : '=';
    }
  }
  return out;
}

class Platform {
 public:
  Platform() : server_([this](Stream& stream) { Serve(stream); }) {}

  std::string address() const { return server_.address(); }

  /// Writes a row; returns its version. The caller's clock at the return is the acknowledgement.
  std::uint64_t Put(const std::string& table, const std::string& key, const Json& value) {
    const std::lock_guard lock(mutex_);
    const std::uint64_t ver = ++state_.ver;
    Store(table, key, ToBase64(value.dump()), false, ver);
    changed_.notify_all();
    return ver;
  }
  std::uint64_t Remove(const std::string& table, const std::string& key) {
    const std::lock_guard lock(mutex_);
    const std::uint64_t ver = ++state_.ver;
    Store(table, key, "", true, ver);
    changed_.notify_all();
    return ver;
  }
  /// Takes the beat of a runner whose entry hasn't changed.
  void Beat() {
    const std::lock_guard lock(mutex_);
    if (!server_.down()) ++state_.ver;
  }
  std::uint64_t ver() {
    const std::lock_guard lock(mutex_);
    return state_.ver;
  }

  /// Makes a copy for a drill.
  void Copy() {
    const std::lock_guard lock(mutex_);
    copy_ = state_;
  }
  /// The drill: away for `away_ms`, then back from the copy, with the next era.
  void ReturnFromCopy(std::int64_t away_ms) {
    server_.set_down(true);
    {
      const std::lock_guard lock(mutex_);
      state_ = copy_;
      ++era_;
      changed_.notify_all();
    }
    SleepMs(away_ms);
    server_.set_down(false);
  }

 private:
  struct Row {
    std::string value;
    bool gone = false;
    std::uint64_t ver = 0;
  };
  using Name = std::pair<std::string, std::string>;
  struct State {
    std::uint64_t ver = 0;
    std::map<Name, Row> rows;
  };

  void Store(const std::string& table, const std::string& key, const std::string& value, bool gone,
             std::uint64_t ver) {
    state_.rows[{table, key}] = {value, gone, ver};
  }

  static std::string Query(const std::string& target, const std::string& name) {
    const std::size_t at = target.find(name + "=");
    if (at == std::string::npos) return {};
    const std::size_t begin = at + name.size() + 1;
    return target.substr(begin, target.find('&', begin) - begin);
  }

  Json RowsOf(const std::string& table, std::uint64_t after, bool with_gone) {
    std::vector<std::pair<std::uint64_t, Json>> found;
    for (const auto& [name, row] : state_.rows) {
      if (name.first != table || row.ver <= after || (row.gone && !with_gone)) continue;
      Json json{{"tableName", table}, {"part", ""}, {"key", name.second}, {"ver", row.ver}};
      if (row.gone) {
        json["isGone"] = true;
      } else {
        json["value"] = row.value;
      }
      found.emplace_back(row.ver, std::move(json));
    }
    if (with_gone) {
      std::sort(found.begin(), found.end(),
                [](const auto& a, const auto& b) { return a.first < b.first; });
    }
    Json rows = Json::array();
    for (auto& [ver, json] : found) rows.push_back(std::move(json));
    return rows;
  }

  int Get(const std::string& target, Json& body) {
    const std::lock_guard lock(mutex_);
    body["rows"] = RowsOf(Query(target, "tableName"), 0, false);
    body["morePages"] = false;
    return 200;
  }

  int Feed(const std::string& target, Json& body) {
    const std::string table = Query(target, "tableName");
    const std::uint64_t after = std::stoull(Query(target, "after"));
    const auto wait = std::chrono::milliseconds(std::stoll(Query(target, "waitMs")));
    std::unique_lock lock(mutex_);
    if (after > state_.ver) return 410;
    const std::uint64_t era = era_;
    changed_.wait_for(lock, wait,
                      [&] { return era_ != era || !RowsOf(table, after, true).empty(); });
    if (after > state_.ver) return 410;
    body["rows"] = RowsOf(table, after, true);
    return 200;
  }

  int Transact(const Message& request, Json& body) {
    const Json json = Json::parse(request.body);
    const std::lock_guard lock(mutex_);
    for (const Json& expected : json.value("expectedRev", Json::array())) {
      const auto found = state_.rows.find({expected.at("tableName"), expected.at("key")});
      const bool exists = found != state_.rows.end() && !found->second.gone;
      if ((exists ? found->second.ver : 0) != expected.at("ver").get<std::uint64_t>()) {
        body["rows"] = Json::array();
        return 412;
      }
    }
    const std::uint64_t ver = ++state_.ver;
    for (const Json& put : json.value("puts", Json::array())) {
      if (put.at("tableName") == "op" || put.at("tableName") == "servers") return 403;
      Store(put.at("tableName"), put.at("key"), put.at("value"), false, ver);
    }
    changed_.notify_all();
    return 200;
  }

  void Serve(Stream& stream) {
    while (!server_.down()) {
      const auto request = stream.Read(NowMs() + 600000);
      if (!request || server_.down()) return;
      Json body = Json::object();
      int status = 404;
      const std::string target = request->Target();
      if (target.starts_with("/-/rows-get")) status = Get(target, body);
      if (target.starts_with("/-/rows-feed")) status = Feed(target, body);
      if (target.starts_with("/-/rows-tx")) status = Transact(*request, body);
      std::uint64_t era = 0;
      {
        const std::lock_guard lock(mutex_);
        body["ver"] = state_.ver;
        body["nowMs"] = NowMs();
        era = era_;
      }
      if (server_.down()) return;
      const std::string text = body.dump();
      const bool sent = stream.Write(
          "HTTP/1.1 " + std::to_string(status) + " X\r\nContent-Type: application/json\r\n" +
          "Store-Era: " + std::to_string(era) +
          "\r\nContent-Length: " + std::to_string(text.size()) + "\r\n\r\n" + text);
      if (!sent) return;
    }
  }

  std::mutex mutex_;
  std::condition_variable changed_;
  State state_;
  State copy_;
  std::uint64_t era_ = 1;
  Server server_;
};

}  // namespace review
