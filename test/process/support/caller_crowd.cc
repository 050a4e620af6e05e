#include "process/support/caller_crowd.h"

#include <poll.h>

#include <algorithm>

namespace bamboodock::process_test {
namespace {

/// How long a peer that reads nothing is waited for. A peer that reads at all is never this slow on
/// loopback, and one that does not must not hold up the test.
constexpr int kWriteWaitMs = 1000;

}  // namespace

CallerCrowd::CallerCrowd(const Address& peer, std::size_t size) {
  const boost::asio::ip::tcp::endpoint endpoint(boost::asio::ip::make_address(peer.ip), peer.port);
  for (std::size_t i = 0; i < size; ++i) {
    boost::asio::ip::tcp::socket socket(loop_);
    socket.connect(endpoint);
    socket.non_blocking(true);
    callers_.push_back(std::move(socket));
  }
}

bool CallerCrowd::Send(std::size_t caller, std::string_view bytes) {
  boost::asio::ip::tcp::socket& socket = callers_[caller];
  while (!bytes.empty()) {
    boost::system::error_code error;
    bytes.remove_prefix(socket.write_some(boost::asio::buffer(bytes), error));
    if (error == boost::asio::error::would_block) {
      pollfd writable{socket.native_handle(), POLLOUT, 0};
      if (poll(&writable, 1, kWriteWaitMs) <= 0) return false;
    } else if (error) {
      return false;
    }
  }
  return true;
}

std::size_t CallerCrowd::CountOpen() {
  return static_cast<std::size_t>(std::count_if(callers_.begin(), callers_.end(), [](auto& socket) {
    char byte = 0;
    boost::system::error_code error;
    socket.receive(boost::asio::buffer(&byte, 1), boost::asio::socket_base::message_peek, error);
    return !error || error == boost::asio::error::would_block;
  }));
}

}  // namespace bamboodock::process_test
