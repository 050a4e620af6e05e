#pragma once

#include <string>
#include <string_view>

#include "bamboodock/core/ids.h"
#include "bamboodock/core/result.h"

namespace bamboodock {

/// Version that a session began with; the caller carries it, signed.
struct SessionPin {
  SessionId session;
  ClientAccountId account;
  ModelId model;
  VersionId version;
};

/// Where the answer of a request can be found again; the caller carries it, signed.
struct RequestHandle {
  RequestId request;
  ClientAccountId account;
  AttemptId attempt;
  EndpointId endpoint;
};

/// Signs and checks the tokens that callers carry.
class TokenSigner {
 public:
  /// @param key Secret that all entries share.
  explicit TokenSigner(std::string key) : key_(std::move(key)) {}

  std::string Sign(const SessionPin& pin) const;
  std::string Sign(const RequestHandle& handle) const;
  /// Fails with `kBadSession`.
  Result<SessionPin> VerifyPin(std::string_view token) const;
  /// Fails with `kBadHandle`.
  Result<RequestHandle> VerifyHandle(std::string_view token) const;

 private:
  std::string key_;
};

}  // namespace bamboodock
