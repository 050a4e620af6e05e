#pragma once

#include <functional>
#include <nlohmann/json.hpp>
#include <string>
#include <thread>
#include <vector>

#include "bamboodock/core/units.h"
#include "bamboodock/transport/http_client.h"

namespace bamboodock::process_test {

/// Limit of every wait; only a broken program reaches it.
inline constexpr std::chrono::seconds kWaitTimeout{40};

/// Response of a process; status 0 when it gave none.
struct Reply {
  int status = 0;
  std::vector<HttpHeader> headers;
  std::string body;

  std::string Header(std::string_view name) const;
  /// Body as JSON; a discarded value when it is not JSON.
  nlohmann::json Json() const;
  /// `error.type` of a refusal.
  std::string ErrorType() const;
};

Reply Send(const Address& peer, HttpRequest request);
Reply Get(const Address& peer, const std::string& path, const std::string& query = "");
Reply Post(const Address& peer, const std::string& path, const nlohmann::json& body,
           std::vector<HttpHeader> headers = {});

/// Waits until `condition` holds; false at the limit.
bool WaitFor(const std::function<bool()>& condition, Duration timeout = kWaitTimeout);

/// Body of a chat request for `model`.
nlohmann::json ChatBody(const std::string& model, const std::string& prompt, Tokens length,
                        bool stream);

/// Streamed answer, as the caller sees it.
struct StreamedAnswer {
  std::string text;
  std::size_t chunks = 0;
  /// `error.type` of an error event; empty when there was none.
  std::string error;
  bool done = false;
};

/// Reads an event stream.
StreamedAnswer ReadStream(const std::string& body);

/// Request on a thread of its own, so that the test can act while it is open.
class OpenRequest {
 public:
  OpenRequest(const Address& peer, HttpRequest request);
  /// Waits for the response.
  const Reply& reply();
  ~OpenRequest();
  OpenRequest(const OpenRequest&) = delete;
  OpenRequest& operator=(const OpenRequest&) = delete;

 private:
  Reply reply_;
  std::thread thread_;
};

}  // namespace bamboodock::process_test
