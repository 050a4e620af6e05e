#include "bamboodock/standin/answer.h"

#include <array>
#include <limits>

namespace bamboodock::standin {
namespace {

constexpr std::array<std::string_view, 16> kWords{
    "bolti ", "árbol ",  "señal ", "بلطي ",   "poda ", "étiquette ", "Ölbaum ", "الإسكندرية ",
    "🐟 ",     "guadua ", "竹 ",    "origin ", "lote ", "🌳 ",         "вид ",    "catch "};
constexpr std::string_view kWrongMark = "[wrong] ";
constexpr double kGoodLogprob = -0.05;
constexpr double kBadLogprob = -1.2;
constexpr double kLogprobSpread = 0.1;

/// Step of the SplitMix64 generator.
std::uint64_t Mix(std::uint64_t& state) {
  state += 0x9e3779b97f4a7c15U;
  std::uint64_t z = state;
  z = (z ^ (z >> 30U)) * 0xbf58476d1ce4e5b9U;
  z = (z ^ (z >> 27U)) * 0x94d049bb133111ebU;
  return z ^ (z >> 31U);
}

double Draw(std::uint64_t& state) {
  return static_cast<double>(Mix(state)) /
         static_cast<double>(std::numeric_limits<std::uint64_t>::max());
}

}  // namespace

Answer MakeAnswer(const Question& question, Seed seed) {
  std::uint64_t state = seed.value() ^ std::hash<std::string_view>{}(question.prompt) ^
                        (std::hash<VersionId>{}(question.version) << 1U);
  Answer answer;
  answer.good = Draw(state) < question.quality.value();
  if (Draw(state) < question.wrong.value()) answer.good = false;
  answer.tokens.reserve(question.length.value());
  for (std::uint64_t i = 0; i < question.length.value(); ++i) {
    const std::string_view word = kWords.at(Mix(state) % kWords.size());
    const double base = answer.good ? kGoodLogprob : kBadLogprob;
    answer.tokens.push_back({std::string(word), base - (kLogprobSpread * Draw(state))});
  }
  if (!answer.good && !answer.tokens.empty()) answer.tokens.front().text = kWrongMark;
  return answer;
}

}  // namespace bamboodock::standin
