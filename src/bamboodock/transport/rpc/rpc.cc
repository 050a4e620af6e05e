#include "bamboodock/transport/rpc/rpc.h"

#include <json/json.h>
#include <jsonrpccpp/client.h>
#include <jsonrpccpp/client/iclientconnector.h>
#include <jsonrpccpp/server/abstractserver.h>
#include <jsonrpccpp/server/abstractserverconnector.h>

#include <map>
#include <utility>

namespace bamboodock {
namespace {

Json::Value Parse(const std::string& text) {
  Json::Value value;
  Json::CharReaderBuilder builder;
  const std::unique_ptr<Json::CharReader> reader(builder.newCharReader());
  std::string errors;
  if (!reader->parse(text.data(), text.data() + text.size(), &value, &errors)) {
    return Json::Value(Json::objectValue);
  }
  return value;
}

std::string Write(const Json::Value& value) {
  Json::StreamWriterBuilder builder;
  builder["indentation"] = "";
  return Json::writeString(builder, value);
}

class TransportConnector : public jsonrpc::IClientConnector {
 public:
  explicit TransportConnector(const RpcTransport& transport) : transport_(transport) {}

  void SendRPCMessage(const std::string& message,
                      std::string& result) throw(jsonrpc::JsonRpcException) override {
    if (!transport_(message, result)) {
      throw jsonrpc::JsonRpcException(RpcOutcome::kTransportError, "no response from the peer");
    }
  }

 private:
  const RpcTransport& transport_;
};

}  // namespace

RpcOutcome CallRpc(const RpcTransport& transport, const std::string& method,
                   const std::string& parameters) {
  RpcOutcome outcome;
  TransportConnector connector(transport);
  jsonrpc::Client client(connector);
  try {
    outcome.result = Write(client.CallMethod(method, Parse(parameters)));
    outcome.ok = true;
  } catch (const jsonrpc::JsonRpcException& error) {
    outcome.error_code = error.GetCode();
    outcome.error_message = error.GetMessage();
  }
  return outcome;
}

class RpcDispatcher::Connector : public jsonrpc::AbstractServerConnector {
 public:
  bool StartListening() override { return true; }
  bool StopListening() override { return true; }
  std::string Dispatch(const std::string& request) {
    std::string response;
    OnRequest(request, &response);
    return response;
  }
  bool SendResponse(const std::string& response, void* destination) override {
    *static_cast<std::string*>(destination) = response;
    return true;
  }
};

class RpcDispatcher::Server : public jsonrpc::AbstractServer<RpcDispatcher::Server> {
 public:
  explicit Server(jsonrpc::AbstractServerConnector& connector)
      : jsonrpc::AbstractServer<RpcDispatcher::Server>(connector, jsonrpc::JSONRPC_SERVER_V2) {}

  void Add(const std::string& name, RpcMethod method) {
    methods_[name] = std::move(method);
    bindAndAddMethod(jsonrpc::Procedure(name, jsonrpc::PARAMS_BY_NAME, jsonrpc::JSON_OBJECT, NULL),
                     &Server::Unused);
  }

  void HandleMethodCall(jsonrpc::Procedure& procedure, const Json::Value& input,
                        Json::Value& output) override {
    output = Parse(methods_.at(procedure.GetProcedureName())(Write(input)));
  }

 private:
  void Unused(const Json::Value& /*input*/, Json::Value& /*output*/) {}

  std::map<std::string, RpcMethod> methods_;
};

RpcDispatcher::RpcDispatcher() : connector_(new Connector()), server_(new Server(*connector_)) {}

RpcDispatcher::~RpcDispatcher() = default;

void RpcDispatcher::Register(const std::string& name, RpcMethod method) {
  server_->Add(name, std::move(method));
}

std::string RpcDispatcher::Handle(const std::string& request) {
  return connector_->Dispatch(request);
}

}  // namespace bamboodock
