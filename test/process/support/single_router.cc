#include "process/support/single_router.h"

#include <boost/asio/read.hpp>
#include <cstdlib>
#include <stdexcept>
#include <string_view>

namespace bamboodock::process_test {
namespace {

nlohmann::json Configuration(const SmallHost& host) {
  const nlohmann::json route{
      {"name", "r1"},       {"host", "h.example"},     {"prefix", "/a/"},    {"kind", "safe"},
      {"timeoutMs", 20000}, {"targetLatencyMs", 5000}, {"priority", 1},      {"service", "s1"},
      {"maxAttempts", 2},   {"public", true},          {"resumable", false},
  };
  const nlohmann::json limits{{"maxHeaderBytes", host.max_header.value()},
                              {"maxBodyBytes", host.max_body.value()},
                              {"headerTimeoutMs", 3000},
                              {"idleTimeoutMs", 15000}};
  return {{"version", 1},
          {"routes", {route}},
          {"services", {{{"name", "s1"}, {"coldS", 0}, {"coldPerS", 0}}}},
          {"limits", limits}};
}

nlohmann::json Registration(const Address& endpoint) {
  return {{"service", "s1"},      {"address", endpoint.ToString()},
          {"zone", "z1"},         {"version", "v1"},
          {"slots", 64},          {"state", "ready"},
          {"coldRemainingMs", 0}, {"sequence", 1},
          {"born", 1787956282063}};
}

}  // namespace

Address SingleRouter::FreeAddress() {
  boost::asio::io_context loop;
  const boost::asio::ip::tcp::acceptor acceptor(loop,
                                                {boost::asio::ip::make_address("127.0.0.1"), 0});
  return {"127.0.0.1", acceptor.local_endpoint().port()};
}

std::string SingleRouter::RequestHead(const std::string& attempt) {
  return "POST /a/1 HTTP/1.1\r\nHost: h.example\r\nX-Bamboodock-Time-Left-Ms: 20000\r\n"
         "X-Bamboodock-Attempt-Id: " +
         attempt + "\r\n";
}

ScriptedServer::Answer SingleRouter::AnswerRequest(const ScriptedServer::Request& request) {
  const std::string attempt(request["X-Bamboodock-Attempt-Id"]);
  return {"HTTP/1.1 200 OK\r\nX-Bamboodock-Attempt-Id: " + attempt +
          "\r\nX-Bamboodock-Response-Stamp: s\r\nContent-Length: 6\r\n\r\nanswer"};
}

SingleRouter::SingleRouter(const std::string& name, const SmallHost& host,
                           const ScriptedServer::Script& script, std::size_t endpoints) {
  store_.AddRow("op", "config", Configuration(host));
  for (std::size_t i = 1; i <= endpoints; ++i) {
    endpoints_.push_back(std::make_unique<ScriptedServer>(script));
    store_.AddRow("servers", "i-" + std::to_string(i), Registration(endpoints_.back()->address()));
  }
  const std::string ports = std::to_string(FreeAddress().port);
  process_ = std::make_unique<ChildProcess>(
      BinaryFolder() + "bamboodock-router",
      std::vector<std::string>{
          "--host=h1", "--availability_zone=z1", "--metrics=false",
          "--callers=" + callers_.ToString(), "--readiness=" + FreeAddress().ToString(),
          "--internal_ports=" + ports + ",65535", "--store=" + store_.address().ToString(),
          "--memory_mb=" + std::to_string(host.memory_mb),
          "--max_descriptors=" + std::to_string(host.descriptors)},
      BinaryFolder() + name + ".log");
  const bool serves = WaitFor([this] { return Request("start") == 200; });
  if (!serves) throw std::runtime_error("the router does not serve after its start");
}

int SingleRouter::Request(const std::string& attempt, const std::string& body) const {
  boost::asio::io_context loop;
  boost::asio::ip::tcp::socket socket(loop);
  boost::system::error_code error;
  socket.connect({boost::asio::ip::make_address(callers_.ip), callers_.port}, error);
  if (error) return 0;
  const std::string bytes = RequestHead(attempt) +
                            "Connection: close\r\nContent-Length: " + std::to_string(body.size()) +
                            "\r\n\r\n" + body;
  boost::asio::write(socket, boost::asio::buffer(bytes), error);
  std::string answer;
  boost::asio::read(socket, boost::asio::dynamic_buffer(answer), error);
  constexpr std::string_view kProtocol = "HTTP/1.1 ";
  if (!answer.starts_with(kProtocol)) return 0;
  return std::atoi(answer.c_str() + kProtocol.size());
}

}  // namespace bamboodock::process_test
