#pragma once

#include <string_view>

#include "bamboodock/command/entry/call_command.h"
#include "bamboodock/command/entry/chat_command.h"
#include "bamboodock/command/entry/entry_commands.h"
#include "bamboodock/query/entry/entry_queries.h"
#include "bamboodock/query/entry/reattach_query.h"
#include "bamboodock/transport/http_server.h"
#include "bamboodock/transport/rpc/rpc.h"

namespace bamboodock {

/// HTTP routes of the caller port.
class CallerHandler final : public HttpHandler {
 public:
  CallerHandler(RequestContext& context, const EntryQueries& queries)
      : chat_(context), call_(context), reattach_(context), queries_(queries) {}

  void Handle(const HttpRequest& request, ResponseWriter& writer) override;

 private:
  void Chat(const HttpRequest& request, ResponseWriter& writer);
  void Call(const HttpRequest& request, ResponseWriter& writer);
  void Reattach(const HttpRequest& request, ResponseWriter& writer);

  ChatCommand chat_;
  CallCommand call_;
  ReattachQuery reattach_;
  const EntryQueries& queries_;
};

/// HTTP routes of the operator port: commands under `/commands/`, queries on all other paths.
class OperatorHandler final : public HttpHandler {
 public:
  OperatorHandler(EntryCommands& commands, const EntryQueries& queries)
      : commands_(commands), queries_(queries) {}

  void Handle(const HttpRequest& request, ResponseWriter& writer) override;

 private:
  EntryCommands& commands_;
  const EntryQueries& queries_;
};

/// JSON-RPC port for sidecars and other entries.
class RpcHandler final : public HttpHandler {
 public:
  explicit RpcHandler(RpcDispatcher& dispatcher) : dispatcher_(dispatcher) {}

  void Handle(const HttpRequest& request, ResponseWriter& writer) override;

 private:
  RpcDispatcher& dispatcher_;
};

}  // namespace bamboodock
