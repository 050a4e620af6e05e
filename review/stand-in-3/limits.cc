// A configuration raises the largest body while channels of clients are idle.
#include "cases.h"

namespace review {

void PlayLimits(Record& record, const std::string& folder) {
  constexpr std::int64_t kConfigApplyMs = 2000;
  constexpr std::size_t kSmallLimit = 65536;
  constexpr std::size_t kLargeLimit = 4194304;
  constexpr int kClients = 24;
  Platform platform;
  const auto config = [](int version, std::size_t body_limit) {
    Json json = Config(version, {Route("r1", "/a/", "unsafe", "s1", 3000, 300, 1)}, {"s1"},
                       {{"a", {"key-a"}}});
    json["limits"]["maxBodyBytes"] = body_limit;
    return json;
  };
  platform.Put("op", "config", config(1, Trouble() ? kSmallLimit : kLargeLimit));
  Runner first(platform, record, "i-1", "s1", Plain(20));
  Runner second(platform, record, "i-2", "s1", Plain(20));
  first.Register();
  second.Register();
  Router router("front-1", "z1", platform.address(), folder);
  if (!router.Start()) End(record, 2);
  record("ready");

  std::atomic<int> requests{0};
  std::atomic<int> denied{0};
  std::atomic<int> served{0};
  std::atomic<int> closed{0};
  const auto ask = [&](Stream& stream, const std::string& attempt, std::size_t size) {
    ++requests;
    const std::int64_t sent = T();
    stream.Write(
        "POST /a/1 HTTP/1.1\r\nHost: h.example\r\nX-Api-Key: key-a\r\n"
        "X-Bamboodock-Time-Left-Ms: 3000\r\nX-Bamboodock-Attempt-Id: " +
        attempt + "\r\nContent-Length: " + std::to_string(size) + "\r\n\r\n" +
        std::string(size, 'b'));
    const auto answer = stream.Read(NowMs() + 3000);
    const int status = answer ? answer->Status() : 0;
    record("answer attempt=%s body=%zu sent=%lld status=%d", attempt.c_str(), size,
           static_cast<long long>(sent), status);
    if (status == 200) ++served;
    if (status == 0) ++closed;
    if (status >= 300 && status < 500 && status != 408 && status != 421 && status != 429) ++denied;
    return status;
  };
  std::vector<std::thread> clients;
  std::atomic<std::int64_t> second_at{0};
  for (int i = 0; i < kClients; ++i) {
    clients.emplace_back([&, i] {
      Stream stream(Stream::Connect(router.callers()));
      ask(stream, "first-" + std::to_string(i), 1000);
      while (second_at == 0) SleepMs(20);
      SleepMs(i * 20);
      ask(stream, "second-" + std::to_string(i), 200000);
    });
  }
  SleepMs(1000);
  if (Trouble()) {
    platform.Put("op", "config", config(2, kLargeLimit));
    record("operator config=2 maxBodyBytes=%zu", kLargeLimit);
  }
  SleepMs(kConfigApplyMs + 2000);
  // A new channel is served with the new limit.
  {
    Stream stream(Stream::Connect(router.callers()));
    ask(stream, "new-channel", 200000);
  }
  second_at = T();
  for (std::thread& client : clients) client.join();
  const double allowed = 5 + requests / 500.0;
  record("requests=%d served=%d closed=%d denied=%d, allowed=%.2f", requests.load(), served.load(),
         closed.load(), denied.load(), allowed);
  if (denied > allowed) End(record, 1);
  End(record, served > 0 ? 0 : 2);
}

}  // namespace review
