#include "bamboodock/command/router/store_writer.h"

#include <fmt/format.h>

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/steady_timer.hpp>
#include <utility>

namespace bamboodock {
namespace {

constexpr std::chrono::milliseconds kAnswerTimeout{900};
/// Delay before the row of this entry is written again after a failure.
constexpr std::chrono::milliseconds kRegistrationRetryDelay{600};
/// Delay between two writes for the same rollout, since a write whose answer was lost may still
/// take effect.
constexpr std::chrono::milliseconds kRewriteDelay{400};

int StatusOf(const HttpExchangeResult& result) {
  return result.response ? result.response->status : 0;
}

}  // namespace

StoreWriter::StoreWriter(asio::io_context& loop, const Address& store, PeerRecord self,
                         const DirectoryCodec& codec, const StoreProtocol& protocol, EventLog& log)
    : loop_(loop),
      self_(std::move(self)),
      codec_(codec),
      protocol_(protocol),
      log_(log),
      channel_(loop.get_executor(), store) {}

void StoreWriter::WriteSelf() { asio::co_spawn(loop_, RunWriteSelf(), asio::detached); }

void StoreWriter::WriteProgress(const RolloutProgress& progress) {
  if (!pending_writes_.insert(progress.service).second) return;
  asio::co_spawn(loop_, RunWriteProgress(progress), asio::detached);
}

asio::awaitable<void> StoreWriter::Sleep(std::chrono::milliseconds time) {
  asio::steady_timer timer(loop_, time);
  co_await timer.async_wait(asio::use_awaitable);
}

asio::awaitable<void> StoreWriter::RunWriteSelf() {
  while (true) {
    const HttpRequest request = protocol_.Transact({codec_.EncodePeer(self_)});
    const HttpExchangeResult result = co_await channel_.Call(request, kAnswerTimeout);
    if (StatusOf(result) == 200) co_return;
    log_.Write(Event::kStoreWriteFailed, RequestId(),
               fmt::format("cannot write the row of this entry: status={} error='{}'",
                           StatusOf(result), result.error.message()));
    co_await Sleep(kRegistrationRetryDelay);
  }
}

asio::awaitable<void> StoreWriter::RunWriteProgress(RolloutProgress progress) {
  const HttpRequest request = protocol_.Transact(codec_.EncodeProgress(progress));
  const HttpExchangeResult result = co_await channel_.Call(request, kAnswerTimeout);
  const int status = StatusOf(result);
  log_.Write(status == 200 ? Event::kRolloutWritten : Event::kStoreWriteFailed, RequestId(),
             fmt::format("service={} target={} state={} expected_revision={} status={} error='{}'",
                         progress.service.value(), progress.target.value(),
                         static_cast<int>(progress.state), progress.revision.number, status,
                         result.error.message()));
  co_await Sleep(kRewriteDelay);
  pending_writes_.erase(progress.service);
}

}  // namespace bamboodock
