#include "bamboodock/command/router/store_writer.h"

#include <fmt/format.h>

#include <algorithm>
#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
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
                         const DirectoryCodec& codec, const StoreProtocol& protocol,
                         const Clock& clock, EventLog& log, AnswerObserver on_answer)
    : loop_(loop),
      self_(std::move(self)),
      codec_(codec),
      protocol_(protocol),
      clock_(clock),
      log_(log),
      on_answer_(std::move(on_answer)),
      channel_(loop.get_executor(), store),
      wake_(loop) {}

void StoreWriter::Start() { asio::co_spawn(loop_, Run(), asio::detached); }

void StoreWriter::WriteSelf(std::chrono::milliseconds delay) {
  const auto due = std::chrono::steady_clock::now() + delay;
  self_due_ = std::min(self_due_.value_or(due), due);
  wake_.cancel();
}

void StoreWriter::OnStoreReturned(std::chrono::milliseconds delay) {
  for (const RolloutProgress& progress : queue_) pending_writes_.erase(progress.service);
  queue_.clear();
  WriteSelf(delay);
}

void StoreWriter::WriteProgress(const RolloutProgress& progress) {
  if (!pending_writes_.insert(progress.service).second) return;
  queue_.push_back(progress);
  wake_.cancel();
}

asio::awaitable<void> StoreWriter::WaitForWork() {
  if (!queue_.empty()) co_return;
  wake_.expires_at(self_due_.value_or(std::chrono::steady_clock::time_point::max()));
  SocketError cancelled;
  co_await wake_.async_wait(CaptureError(cancelled));
}

asio::awaitable<void> StoreWriter::Run() {
  while (true) {
    if (self_due_ && *self_due_ <= std::chrono::steady_clock::now()) {
      co_await SendSelf();
      continue;
    }
    if (queue_.empty()) {
      co_await WaitForWork();
      continue;
    }
    RolloutProgress progress = std::move(queue_.front());
    queue_.pop_front();
    co_await SendProgress(std::move(progress));
  }
}

asio::awaitable<HttpExchangeResult> StoreWriter::Send(HttpRequest request) {
  const MonotonicTime sent = clock_.Now();
  HttpExchangeResult result = co_await channel_.Call(std::move(request), kAnswerTimeout);
  if (result.response) on_answer_(*result.response, sent);
  co_return result;
}

asio::awaitable<void> StoreWriter::SendSelf() {
  // A return of the store that is noticed during the write has the row written once more.
  self_due_.reset();
  std::vector<RowWrite> writes;
  writes.push_back(codec_.EncodePeer(self_));
  HttpRequest request = protocol_.Transact(writes);
  const HttpExchangeResult result = co_await Send(std::move(request));
  if (StatusOf(result) == 200) co_return;
  log_.Write(Event::kStoreWriteFailed, RequestId(),
             fmt::format("cannot write the row of this entry: status={} error='{}'",
                         StatusOf(result), result.error.message()));
  WriteSelf(kRegistrationRetryDelay);
}

asio::awaitable<void> StoreWriter::SendProgress(RolloutProgress progress) {
  HttpRequest request = protocol_.Transact(codec_.EncodeProgress(progress));
  const HttpExchangeResult result = co_await Send(std::move(request));
  const int status = StatusOf(result);
  log_.Write(status == 200 ? Event::kRolloutWritten : Event::kStoreWriteFailed, RequestId(),
             fmt::format("service={} target={} state={} expected_revision={} status={} error='{}'",
                         progress.service.value(), progress.target.value(),
                         static_cast<int>(progress.state), progress.revision.number, status,
                         result.error.message()));
  asio::co_spawn(loop_, EndProgressWrite(progress.service), asio::detached);
}

asio::awaitable<void> StoreWriter::EndProgressWrite(ServiceId service) {
  asio::steady_timer timer(loop_, kRewriteDelay);
  co_await timer.async_wait(asio::use_awaitable);
  pending_writes_.erase(service);
}

}  // namespace bamboodock
