// Blocking HTTP/1.1 helpers of the stand-ins, on loopback addresses only.
#pragma once

#include <arpa/inet.h>
#include <netinet/in.h>
#include <netinet/tcp.h>
#include <poll.h>
#include <strings.h>
#include <sys/socket.h>
#include <unistd.h>

#include <algorithm>
#include <atomic>
#include <chrono>
#include <cstdint>
#include <cstdlib>
#include <cstring>
#include <functional>
#include <map>
#include <mutex>
#include <optional>
#include <set>
#include <string>
#include <thread>
#include <vector>

namespace review {

/// Milliseconds of the steady clock.
inline std::int64_t NowMs() {
  return std::chrono::duration_cast<std::chrono::milliseconds>(
             std::chrono::steady_clock::now().time_since_epoch())
      .count();
}

inline void SleepMs(std::int64_t time) {
  if (time > 0) std::this_thread::sleep_for(std::chrono::milliseconds(time));
}

struct Message {
  std::string start;
  std::vector<std::pair<std::string, std::string>> headers;
  std::string body;

  std::string Header(const char* name) const {
    for (const auto& [key, value] : headers) {
      if (strcasecmp(key.c_str(), name) == 0) return value;
    }
    return {};
  }
  std::string Method() const { return start.substr(0, start.find(' ')); }
  std::string Target() const {
    const std::size_t begin = start.find(' ') + 1;
    return start.substr(begin, start.find(' ', begin) - begin);
  }
  int Status() const { return start.size() > 12 ? std::atoi(start.c_str() + 9) : 0; }
};

/// One connected socket with a read buffer.
class Stream {
 public:
  explicit Stream(int fd = -1) : fd_(fd) {
    const int on = 1;
    if (fd_ >= 0) setsockopt(fd_, IPPROTO_TCP, TCP_NODELAY, &on, sizeof(on));
  }
  ~Stream() { Close(); }
  Stream(const Stream&) = delete;
  Stream& operator=(const Stream&) = delete;

  static int Connect(std::uint16_t port, int receive_buffer = 0) {
    const int fd = socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
    if (receive_buffer > 0) {
      setsockopt(fd, SOL_SOCKET, SO_RCVBUF, &receive_buffer, sizeof(receive_buffer));
    }
    sockaddr_in address{};
    address.sin_family = AF_INET;
    address.sin_port = htons(port);
    address.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
    if (connect(fd, reinterpret_cast<sockaddr*>(&address), sizeof(address)) != 0) {
      close(fd);
      return -1;
    }
    return fd;
  }

  int fd() const { return fd_; }
  void Close() {
    if (fd_ >= 0) close(fd_);
    fd_ = -1;
  }
  /// Closes with a reset.
  void Reset() {
    const linger now{1, 0};
    if (fd_ >= 0) setsockopt(fd_, SOL_SOCKET, SO_LINGER, &now, sizeof(now));
    Close();
  }
  bool Write(const std::string& bytes) {
    std::size_t done = 0;
    while (done < bytes.size()) {
      const ssize_t size = send(fd_, bytes.data() + done, bytes.size() - done, MSG_NOSIGNAL);
      if (size <= 0) return false;
      done += static_cast<std::size_t>(size);
    }
    return true;
  }
  /// Whether the other end has closed or reset the connection.
  bool PeerClosed() const {
    char byte = 0;
    const ssize_t size = recv(fd_, &byte, 1, MSG_PEEK | MSG_DONTWAIT);
    return size == 0 || (size < 0 && errno != EAGAIN && errno != EWOULDBLOCK);
  }
  /// Reads more bytes; false at the end, on an error or when `until_ms` has passed.
  bool Fill(std::int64_t until_ms) {
    const std::int64_t left = until_ms - NowMs();
    if (left <= 0) return false;
    pollfd ready{fd_, POLLIN, 0};
    if (poll(&ready, 1, static_cast<int>(left)) <= 0) return false;
    char bytes[16384];
    const ssize_t size = recv(fd_, bytes, sizeof(bytes), 0);
    ended_ = size == 0;
    reset_ = size < 0;
    if (size <= 0) return false;
    buffer_.append(bytes, static_cast<std::size_t>(size));
    return true;
  }
  bool ended() const { return ended_; }
  bool reset() const { return reset_; }
  std::string& buffer() { return buffer_; }

  /// Reads a head, and the body if it has a length.
  std::optional<Message> Read(std::int64_t until_ms) {
    std::size_t end = 0;
    while ((end = buffer_.find("\r\n\r\n")) == std::string::npos) {
      if (!Fill(until_ms)) return std::nullopt;
    }
    Message message;
    const std::string head = buffer_.substr(0, end);
    buffer_.erase(0, end + 4);
    std::size_t line = 0;
    while (line <= head.size()) {
      const std::size_t stop = std::min(head.find("\r\n", line), head.size());
      const std::string text = head.substr(line, stop - line);
      line = stop + 2;
      if (message.start.empty()) {
        message.start = text;
        continue;
      }
      const std::size_t colon = text.find(':');
      if (colon == std::string::npos) continue;
      std::size_t value = colon + 1;
      while (value < text.size() && text[value] == ' ') ++value;
      message.headers.emplace_back(text.substr(0, colon), text.substr(value));
    }
    const std::size_t length = std::strtoul(message.Header("Content-Length").c_str(), nullptr, 10);
    while (buffer_.size() < length) {
      if (!Fill(until_ms)) return std::nullopt;
    }
    message.body = buffer_.substr(0, length);
    buffer_.erase(0, length);
    return message;
  }

 private:
  int fd_;
  bool ended_ = false;
  bool reset_ = false;
  std::string buffer_;
};

inline std::uint16_t PortOf(int fd) {
  sockaddr_in address{};
  socklen_t size = sizeof(address);
  getsockname(fd, reinterpret_cast<sockaddr*>(&address), &size);
  return ntohs(address.sin_port);
}

inline int Listen(std::uint16_t port) {
  const int fd = socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
  const int on = 1;
  setsockopt(fd, SOL_SOCKET, SO_REUSEADDR, &on, sizeof(on));
  sockaddr_in address{};
  address.sin_family = AF_INET;
  address.sin_port = htons(port);
  address.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
  if (bind(fd, reinterpret_cast<sockaddr*>(&address), sizeof(address)) != 0 ||
      listen(fd, 512) != 0) {
    close(fd);
    return -1;
  }
  return fd;
}

/// Server with one thread a connection. While it is down it resets new connections.
class Server {
 public:
  using Serve = std::function<void(Stream&)>;

  explicit Server(Serve serve, std::uint16_t port = 0) : serve_(std::move(serve)) {
    listener_ = Listen(port);
    if (listener_ < 0) std::abort();
    port_ = PortOf(listener_);
    std::thread([this] { Accept(); }).detach();
  }
  std::uint16_t port() const { return port_; }
  std::string address() const { return "127.0.0.1:" + std::to_string(port_); }
  void set_down(bool down) {
    down_ = down;
    if (!down) return;
    const std::lock_guard lock(mutex_);
    for (const int fd : open_) {
      const linger now{1, 0};
      setsockopt(fd, SOL_SOCKET, SO_LINGER, &now, sizeof(now));
      shutdown(fd, SHUT_RDWR);
    }
  }
  bool down() const { return down_; }

 private:
  void Accept() {
    while (true) {
      const int fd = accept4(listener_, nullptr, nullptr, SOCK_CLOEXEC);
      if (fd < 0) continue;
      if (down_) {
        Stream(fd).Reset();
        continue;
      }
      {
        const std::lock_guard lock(mutex_);
        open_.insert(fd);
      }
      std::thread([this, fd] {
        Stream stream(fd);
        serve_(stream);
        const std::lock_guard lock(mutex_);
        open_.erase(fd);
        if (down_) stream.Reset();
        stream.Close();
      }).detach();
    }
  }

  Serve serve_;
  int listener_ = -1;
  std::uint16_t port_ = 0;
  std::atomic<bool> down_{false};
  std::mutex mutex_;
  std::set<int> open_;
};

}  // namespace review
