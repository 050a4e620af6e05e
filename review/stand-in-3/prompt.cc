// Requests with a part that crashes runners come several at a time.
#include "cases.h"

namespace review {

void PlayPrompt(Record& record, const std::string& folder) {
  constexpr std::int64_t kContactMs = 3000;
  constexpr std::int64_t kDownMs = 3000;
  constexpr int kRunners = 8;
  constexpr int kWave = 5;
  Platform platform;
  Json route = Route("r1", "/a/", "stream", "s1", 15000, 2000, 3);
  route["resumable"] = true;
  route["targetGapMs"] = 2000;
  route["sessionAffinity"] = true;
  platform.Put("op", "config", Config(1, {route}, {"s1"}, {{"a", {"key-a"}}}));

  std::mutex mutex;
  std::vector<std::int64_t> crashes;
  std::vector<std::int64_t> arrivals;
  const Runner::Work engine = [&](Runner& runner, const Message& request, Stream& stream) {
    const bool deadly =
        request.Header("X-Bamboodock-Prompt-Prefix").find("dead:") != std::string::npos;
    if (deadly) {
      const std::lock_guard lock(mutex);
      arrivals.push_back(T());
    }
    SleepMs(60);
    if (runner.down()) return false;
    if (deadly) {
      {
        const std::lock_guard lock(mutex);
        crashes.push_back(T());
      }
      runner.record()("crash runner=%s", runner.id().c_str());
      runner.Crash();
      std::thread([&runner] {
        SleepMs(kDownMs);
        runner.Restart();
        runner.record()("back runner=%s", runner.id().c_str());
      }).detach();
      return false;
    }
    stream.Write(Runner::Head(request, 200,
                              std::string(Runner::kStamp) +
                                  "Content-Type: text/event-stream\r\nTransfer-Encoding: "
                                  "chunked\r\n"));
    for (int i = 1; i <= 8; ++i) {
      const std::string event = "id: " + std::to_string(i) + "\ndata: aaaa\n\n";
      char size[16];
      std::snprintf(size, sizeof(size), "%zx\r\n", event.size());
      if (runner.down() || !stream.Write(size + event + "\r\n")) return false;
      SleepMs(20);
    }
    return stream.Write("0\r\n\r\n");
  };
  std::vector<std::unique_ptr<Runner>> runners;
  for (int i = 1; i <= kRunners; ++i) {
    runners.push_back(
        std::make_unique<Runner>(platform, record, "i-" + std::to_string(i), "s1", engine));
    runners.back()->Register();
  }
  Router router("front-1", "z1", platform.address(), folder);
  if (!router.Start()) End(record, 2);
  record("ready");

  std::vector<std::thread> clients;
  std::atomic<int> served{0};
  int number = 0;
  const auto ask = [&](const std::string& parts) {
    const std::string attempt = "a-" + std::to_string(number++);
    clients.emplace_back([&, attempt, parts] {
      const Outcome outcome = Ask(router.callers(), attempt, "POST /a/1",
                                  "X-Api-Key: key-a\r\nX-Bamboodock-Time-Left-Ms: 15000\r\n"
                                  "X-Bamboodock-Model: m1\r\nX-Bamboodock-Token-Counts: 700,50\r\n"
                                  "X-Bamboodock-Prompt-Prefix: " +
                                      parts + "\r\n",
                                  15000);
      if (outcome.status == 200 && outcome.whole) ++served;
      record("answer attempt=%s parts=%s sent=%lld status=%d whole=%d after=%lld", attempt.c_str(),
             parts.c_str(), static_cast<long long>(outcome.sent), outcome.status, outcome.whole,
             static_cast<long long>(outcome.ended - outcome.sent));
    });
  };
  constexpr std::int64_t kStepMs = 100;
  constexpr int kSteps = 300;
  for (int step = 0; step < kSteps; ++step) {
    const std::string own = std::to_string(1000 + step);
    ask("5c1e:120,b" + std::to_string(step % 5) + ":80," + own + ":500");
    const bool wave = step >= 20 && step % 50 == 20;
    if (wave && Trouble()) {
      record("wave of requests with the part");
      for (int i = 0; i < kWave; ++i) {
        const std::string last = std::to_string(100000 + 10 * step + i);
        ask("5c1e:120,dead:80," + last + ":500");
      }
    }
    SleepMs(kStepMs);
  }
  for (std::thread& client : clients) client.join();
  std::sort(crashes.begin(), crashes.end());
  int late = 0;
  if (crashes.size() >= 5) {
    for (const std::int64_t at : arrivals) late += at > crashes[4] + kContactMs ? 1 : 0;
    record("fifth crash at %lld", static_cast<long long>(crashes[4]));
  }
  record(
      "crashes=%zu, requests with the part that reached a runner over %lld ms after the fifth: "
      "%d, served=%d",
      crashes.size(), static_cast<long long>(kContactMs), late, served.load());
  if (late > 3) End(record, 1);
  End(record, served > 0 ? 0 : 2);
}

}  // namespace review
