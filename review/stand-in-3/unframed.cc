// Requests with a part that crashes runners come one at a time; the runners' streams have neither a
// length nor chunks.
#include "cases.h"
#include "process_runner.h"

namespace review {

void PlayUnframed(Record& record, const std::string& folder) {
  constexpr std::int64_t kContactMs = 3000;
  constexpr std::int64_t kDownMs = 3000;
  constexpr int kRunners = 8;
  Platform platform;
  Json route = Route("r1", "/a/", "stream", "s1", 15000, 2000, 3);
  route["resumable"] = true;
  route["targetGapMs"] = 2000;
  route["sessionAffinity"] = true;
  platform.Put("op", "config", Config(1, {route}, {"s1"}, {{"a", {"key-a"}}}));
  std::vector<std::unique_ptr<ProcessRunner>> runners;
  for (int i = 1; i <= kRunners; ++i) {
    runners.push_back(
        std::make_unique<ProcessRunner>(platform, record, "i-" + std::to_string(i), kDownMs));
  }
  Router router("front-1", "z1", platform.address(), folder);
  if (!router.Start()) End(record, 2);
  record("ready");
  SleepMs(500);

  std::vector<std::thread> clients;
  std::atomic<int> served{0};
  const auto ask = [&](const std::string& attempt, const std::string& parts) {
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
  constexpr std::int64_t kStepMs = 200;
  constexpr int kSteps = 150;
  for (int step = 0; step < kSteps; ++step) {
    const std::string number = std::to_string(step);
    ask("sound-" + number, "5c1e:120,b" + std::to_string(step % 5) + ":80,c" + number + ":500");
    if (Trouble() && step >= 10 && step % 5 == 0) {
      ask("deadly-" + number, "5c1e:120," + std::string(kDeadlyPart) + "80,d" + number + ":500");
    }
    SleepMs(kStepMs);
  }
  for (std::thread& client : clients) client.join();
  std::vector<std::int64_t> crashes;
  for (const auto& runner : runners) {
    for (const std::int64_t at : runner->crashes()) crashes.push_back(at);
  }
  std::sort(crashes.begin(), crashes.end());
  int late = 0;
  if (crashes.size() >= 5) {
    record("fifth crash at %lld", static_cast<long long>(crashes[4]));
    for (const auto& runner : runners) {
      for (const std::int64_t at : runner->deadly_arrivals()) {
        late += at > crashes[4] + kContactMs ? 1 : 0;
      }
    }
  }
  record(
      "crashes=%zu, requests with the part that reached a runner over %lld ms after the fifth: "
      "%d, answers served=%d",
      crashes.size(), static_cast<long long>(kContactMs), late, served.load());
  if (late > 3) End(record, 1);
  End(record, served > 0 ? 0 : 2);
}

}  // namespace review
