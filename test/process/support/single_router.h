#pragma once

#include <memory>
#include <string>
#include <vector>

#include "bamboodock/core/units.h"
#include "fakes/scripted_server.h"
#include "process/support/child_process.h"
#include "process/support/fake_store.h"
#include "process/support/http.h"

namespace bamboodock::process_test {

/// Limits of the host and of requests that a test gives to its router.
struct SmallHost {
  std::uint32_t memory_mb = 64;
  std::uint32_t descriptors = 1024;
  Bytes max_body{1U << 20U};
  Bytes max_header{16384};
};

/// Router as a process of its own on 127.0.0.1, with a store and endpoints in this process.
///
/// Requests need no API key.
class SingleRouter {
 public:
  /// Starts the router and waits until it serves; throws when it does not.
  ///
  /// @param script How the endpoints answer.
  SingleRouter(const std::string& name, const SmallHost& host,
               const ScriptedServer::Script& script = AnswerEachRequest(),
               std::size_t endpoints = 1);

  const Address& callers() const { return callers_; }
  ChildProcess& process() { return *process_; }
  /// Answers a request with 200.
  static ScriptedServer::Answer AnswerRequest(const ScriptedServer::Request& request);
  static ScriptedServer::Script AnswerEachRequest() {
    return [](const auto& request, std::size_t) { return AnswerRequest(request); };
  }
  /// Head of a request to the endpoints' route, without the blank line at its end.
  static std::string RequestHead(const std::string& attempt);
  /// Sends an ordinary request on a new connection; returns the status of its answer, 0 when there
  /// is none.
  int Request(const std::string& attempt, const std::string& body = "body") const;

 private:
  static Address FreeAddress();

  std::vector<std::unique_ptr<ScriptedServer>> endpoints_;
  FakeStore store_;
  Address callers_ = FreeAddress();
  std::unique_ptr<ChildProcess> process_;
};

}  // namespace bamboodock::process_test
