// Plays one case: review-driver CASE FOLDER. FOLDER takes the settings and logs of the routers and
// record.txt. Exits with 1 if the rule was broken, 0 if it held and 2 if the case could not run.
#include <cstdio>

#include "cases.h"
#include "process_runner.h"

int main(int argc, char** argv) {
  if (argc == 7 && std::string(argv[1]) == "--engine") {
    const review::EngineTimes times{std::atoi(argv[4]), std::atoi(argv[5]), std::atoi(argv[6])};
    return review::RunEngineProcess(argv[2], static_cast<std::uint16_t>(std::atoi(argv[3])), times);
  }
  if (argc != 3) {
    std::fprintf(stderr, "usage: review-driver CASE FOLDER\n");
    return 2;
  }
  signal(SIGPIPE, SIG_IGN);
  const std::string name = argv[1];
  const std::string folder = argv[2];
  review::Record record(folder + "/record.txt");
  for (const auto& [known, play] : review::kCases) {
    if (name != known) continue;
    record("case %s trouble=%d", known, review::Trouble() ? 1 : 0);
    play(record, folder);
  }
  std::fprintf(stderr, "unknown case %s\n", argv[1]);
  return 2;
}
