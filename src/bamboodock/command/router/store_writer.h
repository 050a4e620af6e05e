#pragma once

#include <boost/asio/io_context.hpp>
#include <boost/asio/steady_timer.hpp>
#include <chrono>
#include <deque>
#include <functional>
#include <optional>
#include <set>
#include <string_view>

#include "bamboodock/core/clock.h"
#include "bamboodock/observe/event_log.h"
#include "bamboodock/routing/directory_codec.h"
#include "bamboodock/routing/store_protocol.h"
#include "bamboodock/transport/async_http_channel.h"

namespace bamboodock {

/// Writes the rows of this router to the store, one at a time; used on the store duty's event loop
/// only.
class StoreWriter {
 public:
  /// Receives each answer to a write and the time at which the write was sent.
  using AnswerObserver = std::function<void(const HttpResponse& response, MonotonicTime sent)>;

  StoreWriter(asio::io_context& loop, const Address& store, PeerRecord self,
              const DirectoryCodec& codec, const StoreProtocol& protocol, const Clock& clock,
              EventLog& log, AnswerObserver on_answer);

  /// Starts to write; call once.
  void Start();
  void SetServer(const Address& store) { channel_.SetServer(store); }
  /// Writes the row of this entry after `delay`, and again until the store has acknowledged it. A
  /// write that is due earlier stays so.
  void WriteSelf(std::chrono::milliseconds delay);
  /// Drops the writes that wait, since they expect revisions of an earlier era, and writes the row
  /// of this entry again after `delay`.
  void OnStoreReturned(std::chrono::milliseconds delay);
  /// Writes the state of a rollout, unless a write for its service is in progress.
  void WriteProgress(const RolloutProgress& progress);

 private:
  asio::awaitable<void> Run();
  asio::awaitable<void> SendSelf();
  asio::awaitable<void> SendProgress(RolloutProgress progress);
  asio::awaitable<HttpExchangeResult> Send(HttpRequest request);
  /// Waits until the row of this entry is due or there is something new to write.
  asio::awaitable<void> WaitForWork();
  /// Allows the next write for the service after a delay.
  asio::awaitable<void> EndProgressWrite(ServiceId service);

  asio::io_context& loop_;
  PeerRecord self_;
  const DirectoryCodec& codec_;
  const StoreProtocol& protocol_;
  const Clock& clock_;
  EventLog& log_;
  AnswerObserver on_answer_;
  AsyncHttpChannel channel_;
  asio::steady_timer wake_;
  /// When the row of this entry is to be written; empty when the store has it.
  std::optional<std::chrono::steady_clock::time_point> self_due_;
  std::deque<RolloutProgress> queue_;
  /// Services with a write in the queue or in progress.
  std::set<ServiceId> pending_writes_;
};

}  // namespace bamboodock
