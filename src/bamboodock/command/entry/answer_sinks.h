#pragma once

#include <functional>
#include <string>
#include <vector>

#include "bamboodock/command/entry/attempt_client.h"
#include "bamboodock/transport/http_server.h"

namespace bamboodock {

/// Buffers an answer until it is decided whether the caller receives it.
class BufferSink final : public AnswerSink {
 public:
  bool OnHead(int status, const std::vector<HttpHeader>& headers) override {
    status_ = status;
    headers_ = headers;
    return true;
  }
  bool OnChunk(const std::string& data) override {
    chunks_.push_back(data);
    return true;
  }

  int status() const { return status_; }
  const std::vector<HttpHeader>& headers() const { return headers_; }
  const std::vector<std::string>& chunks() const { return chunks_; }

 private:
  int status_ = 200;
  std::vector<HttpHeader> headers_;
  std::vector<std::string> chunks_;
};

/// Forwards chunks to the caller as server-sent events as they arrive.
class EventStreamSink final : public AnswerSink {
 public:
  /// @param headers Headers sent with the first byte.
  /// @param on_first_byte Called once, when the first event has been sent.
  EventStreamSink(ResponseWriter& writer, std::vector<HttpHeader> headers,
                  std::function<void()> on_first_byte);

  bool OnHead(int status, const std::vector<HttpHeader>& headers) override;
  bool OnChunk(const std::string& data) override;
  bool OnHeartbeat() override;

  /// Sends the end marker `data: [DONE]` and ends the response.
  void Done();
  /// Ends a stream that cannot be completed: sends an error event and no end marker.
  void Abort(const std::string& error_body);

 private:
  ResponseWriter& writer_;
  std::vector<HttpHeader> headers_;
  std::function<void()> on_first_byte_;
  bool first_sent_ = false;
};

}  // namespace bamboodock
