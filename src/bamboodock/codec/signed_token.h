#pragma once

#include <string>
#include <string_view>

#include "bamboodock/core/ids.h"
#include "bamboodock/core/result.h"

namespace bamboodock {

/// Version with which a session began. The caller stores it as a signed token.
struct SessionPin {
  SessionId session;
  ClientAccountId account;
  ModelId model;
  VersionId version;
};

/// Location of the answer to a request. The caller stores it as a signed token.
struct RequestHandle {
  RequestId request;
  ClientAccountId account;
  AttemptId attempt;
  EndpointId endpoint;
};

/// Signs and verifies the tokens that callers store.
class TokenSigner {
 public:
  /// @param key Secret that all entries share.
  explicit TokenSigner(std::string key) : key_(std::move(key)) {}

  std::string Sign(const SessionPin& pin) const;
  std::string Sign(const RequestHandle& handle) const;
  /// Fails with `kBadSession` when the token is malformed, is of another type or has a wrong
  /// signature.
  Result<SessionPin> VerifyPin(std::string_view token) const;
  /// Fails with `kBadHandle` when the token is malformed, is of another type or has a wrong
  /// signature.
  Result<RequestHandle> VerifyHandle(std::string_view token) const;

 private:
  std::string key_;
};

}  // namespace bamboodock
