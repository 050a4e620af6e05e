// A key is taken away some seconds after the store has come back from a copy.
#include "cases.h"

namespace review {

void PlayDrill(Record& record, const std::string& folder) {
  constexpr std::int64_t kRevokeMs = 5000;
  Platform platform;
  std::vector<std::unique_ptr<Runner>> runners;
  const auto config = [](int version, int target_ms, bool first_key) {
    std::map<std::string, std::vector<std::string>> tenants{{"b", {"key-b"}}};
    tenants["a"] = first_key ? std::vector<std::string>{"key-a", "key-a2"}
                             : std::vector<std::string>{"key-a2"};
    return Config(version, {Route("r1", "/a/", "safe", "s1", 1500, target_ms, 2)}, {"s1"}, tenants);
  };
  platform.Put("op", "config", config(1, 300, true));
  for (int i = 1; i <= 3; ++i) {
    runners.push_back(
        std::make_unique<Runner>(platform, record, "i-" + std::to_string(i), "s1", Plain(20)));
    runners.back()->Register();
  }
  Router router("front-1", "z1", platform.address(), folder);
  if (!router.Start()) End(record, 2);
  record("ready");

  // The runners' beats are transactions too, but change no entry.
  std::atomic<bool> stop{false};
  std::thread beats([&] {
    while (!stop) {
      SleepMs(400);
      platform.Beat();
    }
  });
  std::mutex mutex;
  std::map<std::string, Outcome> outcomes;
  const auto client = [&](const std::string& name, const std::string& key) {
    for (int i = 0; !stop; ++i) {
      const std::string attempt = name + "-" + std::to_string(i);
      const Outcome outcome =
          Ask(router.callers(), attempt, "GET /a/1",
              "X-Api-Key: " + key + "\r\nX-Bamboodock-Time-Left-Ms: 3000\r\n", 3000);
      record("answer attempt=%s key=%s sent=%lld status=%d", attempt.c_str(), key.c_str(),
             static_cast<long long>(outcome.sent), outcome.status);
      {
        const std::lock_guard lock(mutex);
        outcomes[attempt] = outcome;
      }
      SleepMs(100);
    }
  };
  std::thread first(client, "first", "key-a");
  std::thread second(client, "second", "key-b");

  SleepMs(2000);
  platform.Copy();
  record("copy ver=%llu", static_cast<unsigned long long>(platform.ver()));
  for (int version = 2; version <= 4; ++version) {
    SleepMs(600);
    const auto ver = platform.Put("op", "config", config(version, 300 + version, true));
    record("operator config=%d ver=%llu", version, static_cast<unsigned long long>(ver));
  }
  SleepMs(600);
  if (Trouble()) {
    record("drill: away");
    platform.ReturnFromCopy(500);
    record("drill: back ver=%llu", static_cast<unsigned long long>(platform.ver()));
    // What the operator wrote since the copy is written again; the runners' entries are unchanged.
    const auto ver = platform.Put("op", "config", config(4, 304, true));
    record("operator config=4 again ver=%llu", static_cast<unsigned long long>(ver));
  }
  SleepMs(1000);
  const auto ver = platform.Put("op", "config", config(5, 305, false));
  const std::int64_t acknowledged = T();
  record("operator config=5 without key-a ver=%llu", static_cast<unsigned long long>(ver));
  SleepMs(kRevokeMs + 6000);
  stop = true;
  beats.join();
  first.join();
  second.join();

  std::set<std::string> ran;
  for (const auto& runner : runners) {
    for (const Arrival& arrival : runner->arrivals()) ran.insert(arrival.attempt);
  }
  int late = 0;
  int served_other = 0;
  for (const auto& [attempt, outcome] : outcomes) {
    if (outcome.sent <= acknowledged + kRevokeMs) continue;
    if (attempt.starts_with("first") && ran.contains(attempt)) ++late;
    if (attempt.starts_with("second") && outcome.status == 200) ++served_other;
  }
  record("requests with the key that ran, sent over %lld ms after the acknowledgement: %d",
         static_cast<long long>(kRevokeMs), late);
  record("requests with the other key served in that time: %d", served_other);
  if (late > 0) End(record, 1);
  End(record, served_other > 0 ? 0 : 2);
}

}  // namespace review
