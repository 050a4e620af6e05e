#include "bamboodock/command/entry/request_context.h"

#include <algorithm>
#include <charconv>

#include "bamboodock/codec/digest.h"

namespace bamboodock {
namespace {

constexpr std::string_view kBearer = "Bearer ";
constexpr std::chrono::milliseconds kMaxDeadline{600000};

}  // namespace

Result<ClientAccountId> Authenticate(const ConfigSnapshot& config, const HttpRequest& request) {
  if (config.set() == nullptr) {
    return Raise(Failure{ResultCode::kNoConfiguration, "no configuration has been published",
                         RunState::kNotRun, std::chrono::seconds(1)});
  }
  const std::string_view header = request.Header("Authorization");
  if (header.rfind(kBearer, 0) != 0) {
    return Raise(ResultCode::kUnauthorized, "the header 'Authorization: Bearer' is missing");
  }
  const std::string hash = Sha256Hex(header.substr(kBearer.size()));
  const ClientAccount* account = config.set()->FindByKeyHash(hash);
  if (account == nullptr) return Raise(ResultCode::kUnauthorized, "unknown API key");
  return account->id;
}

Result<Ref<const ConfigSnapshot>> FreshConfig(const ConfigDuty& config) {
  Ref<const ConfigSnapshot> snapshot = config.snapshot();
  if (snapshot->set() != nullptr && !snapshot->IsFresh(std::chrono::steady_clock::now())) {
    return Raise(Failure{ResultCode::kNotFresh,
                         "the configuration of this host is not confirmed to be the newest",
                         RunState::kNotRun, std::chrono::seconds(1)});
  }
  return snapshot;
}

Result<MonotonicTime> ParseDeadline(const HttpRequest& request) {
  const auto now = std::chrono::steady_clock::now();
  const std::string_view text = request.Header("X-Bamboodock-Deadline-Ms");
  if (text.empty()) return now + config::kDefaultDeadline;
  std::int64_t milliseconds = 0;
  const auto [end, error] = std::from_chars(text.data(), text.data() + text.size(), milliseconds);
  if (error != std::errc{} || end != text.data() + text.size() || milliseconds <= 0) {
    return Raise(ResultCode::kBadRequest, "X-Bamboodock-Deadline-Ms is not a positive integer");
  }
  return now + std::min<Duration>(std::chrono::milliseconds(milliseconds), kMaxDeadline);
}

}  // namespace bamboodock
