#pragma once

#include <cstdint>
#include <map>
#include <string>
#include <utility>
#include <vector>

#include "bamboodock/transport/entry_client.h"

namespace bamboodock {

/// Client of scripted entries; a call to any other entry fails with `kConnectionFailed`.
class FakeEntryClient final : public EntryClient {
 public:
  struct RecordedCall {
    Address entry;
    HttpRequest request;
  };

  static Address Entry(std::uint16_t port) { return Address{"127.0.0.1", port}; }

  /// Makes the entry on `port` answer every request with this response.
  void Answer(std::uint16_t port, int status, std::string body) {
    HttpResponse response;
    response.status = status;
    response.body = std::move(body);
    answers_[port] = std::move(response);
  }
  /// Makes the entry on `port` receive requests without answering; calls fail with
  /// `kConnectionSilent`.
  void LoseAnswer(std::uint16_t port) { silent_.push_back(port); }

  Result<HttpResponse> Call(const Address& entry, const HttpRequest& request) override {
    calls_.push_back({entry, request});
    for (const std::uint16_t port : silent_) {
      if (port == entry.port) {
        return Raise(ResultCode::kConnectionSilent, "no response", RunState::kUnknown);
      }
    }
    const auto found = answers_.find(entry.port);
    if (found != answers_.end()) return found->second;
    return Raise(ResultCode::kConnectionFailed, "cannot connect to " + entry.ToString());
  }

  const std::vector<RecordedCall>& calls() const { return calls_; }

 private:
  std::map<std::uint16_t, HttpResponse> answers_;
  std::vector<std::uint16_t> silent_;
  std::vector<RecordedCall> calls_;
};

}  // namespace bamboodock
