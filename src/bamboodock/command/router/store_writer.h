#pragma once

#include <boost/asio/io_context.hpp>
#include <set>

#include "bamboodock/observe/event_log.h"
#include "bamboodock/routing/directory_codec.h"
#include "bamboodock/routing/store_protocol.h"
#include "bamboodock/transport/async_http_channel.h"

namespace bamboodock {

/// Writes the rows of this router to the store; used on the store duty's event loop only.
class StoreWriter {
 public:
  StoreWriter(asio::io_context& loop, const Address& store, PeerRecord self,
              const DirectoryCodec& codec, const StoreProtocol& protocol, EventLog& log);

  void SetServer(const Address& store) { channel_.SetServer(store); }
  /// Writes the row of this entry until the store has acknowledged it.
  void WriteSelf();
  /// Writes the state of a rollout, unless a write for its service is in progress.
  void WriteProgress(const RolloutProgress& progress);

 private:
  asio::awaitable<void> RunWriteSelf();
  asio::awaitable<void> RunWriteProgress(RolloutProgress progress);
  asio::awaitable<void> Sleep(std::chrono::milliseconds time);

  asio::io_context& loop_;
  PeerRecord self_;
  const DirectoryCodec& codec_;
  const StoreProtocol& protocol_;
  EventLog& log_;
  AsyncHttpChannel channel_;
  std::set<ServiceId> pending_writes_;
};

}  // namespace bamboodock
