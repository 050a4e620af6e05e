#include "process/support/fake_store.h"

#include <chrono>
#include <thread>

#include "fakes/base64.h"

namespace bamboodock::process_test {
namespace {

using Json = nlohmann::json;

constexpr std::uint64_t kRevision = 10;
/// Time for which a feed is held, so that the router does not poll without a pause.
constexpr std::chrono::milliseconds kFeedTime{200};

std::int64_t NowMs() {
  return std::chrono::duration_cast<std::chrono::milliseconds>(
             std::chrono::steady_clock::now().time_since_epoch())
      .count();
}

}  // namespace

FakeStore::FakeStore()
    : server_([this](const auto& request, std::size_t) { return Answer(request); }) {}

void FakeStore::AddRow(const std::string& table, const std::string& key, const Json& value) {
  rows_.push_back({table,
                   {{"tableName", table},
                    {"part", ""},
                    {"key", key},
                    {"value", ToBase64(value.dump())},
                    {"ver", kRevision}}});
}

ScriptedServer::Answer FakeStore::Answer(const ScriptedServer::Request& request) const {
  const std::string target(request.target());
  Json body{{"ver", kRevision}, {"nowMs", NowMs()}, {"rows", Json::array()}, {"morePages", false}};
  if (target.starts_with("/-/rows-get")) {
    for (const Row& row : rows_) {
      if (target.find("tableName=" + row.table + "&") != std::string::npos) {
        body["rows"].push_back(row.json);
      }
    }
  } else if (target.starts_with("/-/rows-feed")) {
    std::this_thread::sleep_for(kFeedTime);
  }
  const std::string text = body.dump();
  return {"HTTP/1.1 200 OK\r\nContent-Type: application/json\r\nContent-Length: " +
              std::to_string(text.size()) + "\r\n\r\n" + text,
          ScriptedServer::ConnectionAction::kKeep};
}

}  // namespace bamboodock::process_test
