#include "bamboodock/command/entry/answer_sinks.h"

#include <utility>

namespace bamboodock {

EventStreamSink::EventStreamSink(ResponseWriter& writer, std::vector<HttpHeader> headers,
                                 std::function<void()> on_first_byte)
    : writer_(writer), headers_(std::move(headers)), on_first_byte_(std::move(on_first_byte)) {
  headers_.push_back({"Content-Type", "text/event-stream"});
  headers_.push_back({"Cache-Control", "no-cache"});
}

bool EventStreamSink::OnHead(int /*status*/, const std::vector<HttpHeader>& /*headers*/) {
  return writer_.begun() || writer_.Begin(200, headers_);
}

bool EventStreamSink::OnChunk(const std::string& data) {
  if (!writer_.Write("data: " + data + "\n\n")) return false;
  if (!std::exchange(first_sent_, true)) on_first_byte_();
  return true;
}

bool EventStreamSink::OnHeartbeat() {
  // Writing an event-stream comment detects a disconnected caller before the next token arrives.
  return !writer_.begun() || writer_.Write(": alive\n\n");
}

void EventStreamSink::Done() {
  writer_.Write("data: [DONE]\n\n");
  writer_.End();
}

void EventStreamSink::Abort(const std::string& error_body) {
  writer_.Write("data: " + error_body + "\n\n");
  writer_.End();
}

}  // namespace bamboodock
