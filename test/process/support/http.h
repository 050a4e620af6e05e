#pragma once

#include <functional>
#include <nlohmann/json.hpp>
#include <string>
#include <thread>
#include <vector>

#include "bamboodock/core/units.h"
#include "bamboodock/transport/http_client.h"

namespace bamboodock::process_test {

/// Timeout of all waits, long enough that only a faulty program reaches it.
inline constexpr std::chrono::seconds kWaitTimeout{40};

/// Response of a process; status 0 when there was no complete response.
struct Reply {
  int status = 0;
  std::vector<HttpHeader> headers;
  std::string body;

  std::string Header(std::string_view name) const;
  /// Body as JSON; a discarded value when it is not JSON.
  nlohmann::json Json() const;
  /// `error.type` of an error response; empty when the body has none.
  std::string ErrorType() const;
};

Reply Send(const Address& peer, HttpRequest request);
Reply Get(const Address& peer, const std::string& path, const std::string& query = "");
Reply Post(const Address& peer, const std::string& path, const nlohmann::json& body,
           std::vector<HttpHeader> headers = {});

/// Polls until `condition` holds; false on a timeout.
bool WaitFor(const std::function<bool()>& condition, Duration timeout = kWaitTimeout);

/// Body of a chat request for `model`.
nlohmann::json ChatBody(const std::string& model, const std::string& prompt, Tokens length,
                        bool stream);

/// Streamed answer as received by the caller.
struct StreamedAnswer {
  std::string text;
  std::size_t chunks = 0;
  /// `error.type` of an error event; empty when there was none.
  std::string error;
  /// Whether the end marker was received.
  bool done = false;
};

/// Parses the body of an event stream.
StreamedAnswer ReadStream(const std::string& body);

/// Request that runs on its own thread, so that the test can act while it is open.
class OpenRequest {
 public:
  OpenRequest(const Address& peer, HttpRequest request);
  /// Blocks until the request has ended.
  const Reply& reply();
  ~OpenRequest();
  OpenRequest(const OpenRequest&) = delete;
  OpenRequest& operator=(const OpenRequest&) = delete;

 private:
  Reply reply_;
  std::thread thread_;
};

}  // namespace bamboodock::process_test
