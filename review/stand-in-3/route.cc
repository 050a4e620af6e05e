// Requests with a part that crashes runners come one at a time; the runners' streams are short and
// have neither a length nor chunks.
#include "cases.h"
#include "process_runner.h"

namespace review {

void PlayRoute(Record& record, const std::string& folder) {
  constexpr std::int64_t kContactMs = 3000;
  constexpr std::int64_t kDownMs = 3000;
  constexpr int kRunners = 8;
  constexpr int kFirstMs = 100;
  Platform platform;
  Json route = Route("r1", "/a/", "stream", "s1", 5000, 2000, 3);
  route["resumable"] = true;
  route["targetGapMs"] = 2000;
  route["sessionAffinity"] = true;
  platform.Put("op", "config", Config(1, {route}, {"s1"}, {{"a", {"key-a"}}}));
  std::vector<std::unique_ptr<ProcessRunner>> runners;
  for (int i = 1; i <= kRunners; ++i) {
    runners.push_back(std::make_unique<ProcessRunner>(platform, record, "i-" + std::to_string(i),
                                                      kDownMs, EngineTimes{kFirstMs, 20, 3}));
  }
  Router router("front-1", "z1", platform.address(), folder);
  if (!router.Start()) End(record, 2);
  record("ready");
  SleepMs(500);

  struct Sound {
    std::int64_t sent = 0;
    bool begun = false;
  };
  std::mutex mutex;
  std::vector<Sound> sounds;
  std::vector<std::thread> clients;
  const auto ask = [&](const std::string& attempt, const std::string& parts, bool sound) {
    clients.emplace_back([&, attempt, parts, sound] {
      const Outcome outcome = Ask(router.callers(), attempt, "POST /a/1",
                                  "X-Api-Key: key-a\r\nX-Bamboodock-Time-Left-Ms: 5000\r\n"
                                  "X-Bamboodock-Model: m1\r\nX-Bamboodock-Token-Counts: 2368,50\r\n"
                                  "X-Bamboodock-Prompt-Prefix: " +
                                      parts + "\r\n",
                                  5000);
      record("answer attempt=%s parts=%s sent=%lld status=%d whole=%d after=%lld", attempt.c_str(),
             parts.c_str(), static_cast<long long>(outcome.sent), outcome.status, outcome.whole,
             static_cast<long long>(outcome.ended - outcome.sent));
      const std::lock_guard lock(mutex);
      if (sound) sounds.push_back({outcome.sent, outcome.status == 200});
    });
  };
  constexpr std::int64_t kStepMs = 50;
  constexpr int kSteps = 900;
  constexpr int kFirstDeadlyStep = 100;
  const std::int64_t trouble_at = T() + kFirstDeadlyStep * kStepMs;
  for (int step = 0; step < kSteps; ++step) {
    const std::string number = std::to_string(step);
    ask("sound-" + number, "5c1e:341,b" + std::to_string(step % 5) + ":227,c" + number + ":1800",
        true);
    if (Trouble() && step >= kFirstDeadlyStep && step % 20 == 0) {
      ask("deadly-" + number, "5c1e:341," + std::string(kDeadlyPart) + "227,d" + number + ":1800",
          false);
    }
    SleepMs(kStepMs);
  }
  const std::int64_t end = T();
  for (std::thread& client : clients) client.join();
  std::vector<std::int64_t> crashes;
  for (const auto& runner : runners) {
    for (const std::int64_t at : runner->crashes()) crashes.push_back(at);
  }
  std::sort(crashes.begin(), crashes.end());
  std::int64_t from = trouble_at + 2 * kContactMs;
  if (!crashes.empty())
    from = crashes[std::min<std::size_t>(crashes.size(), 5) - 1] + 2 * kContactMs;
  int before = 0;
  int begun_before = 0;
  int after = 0;
  int begun_after = 0;
  for (const Sound& sound : sounds) {
    if (sound.sent < trouble_at - 500) {
      ++before;
      begun_before += sound.begun ? 1 : 0;
    } else if (sound.sent > from && sound.sent < end) {
      ++after;
      begun_after += sound.begun ? 1 : 0;
    }
  }
  record("crashes=%zu; sound requests begun: %d of %d before, %d of %d from %lld on",
         crashes.size(), begun_before, before, begun_after, after, static_cast<long long>(from));
  if (before < 20 || after < 20 || begun_before == 0) End(record, 2);
  const double share_before = static_cast<double>(begun_before) / before;
  const double share_after = static_cast<double>(begun_after) / after;
  End(record, share_after < share_before / 2 ? 1 : 0);
}

}  // namespace review
