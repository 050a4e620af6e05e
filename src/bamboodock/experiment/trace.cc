#include "bamboodock/experiment/trace.h"

#include <algorithm>
#include <boost/random/beta_distribution.hpp>
#include <boost/random/exponential_distribution.hpp>
#include <boost/random/lognormal_distribution.hpp>
#include <cmath>

#include "bamboodock/experiment/time.h"

namespace bamboodock::experiment {
namespace {

Tokens Draw(const TokenDistribution& distribution, Random& random) {
  boost::random::lognormal_distribution<> draw(std::log(distribution.median), distribution.sigma);
  return Tokens(static_cast<std::uint64_t>(std::max(1.0, draw(random))));
}

/// Squaring the uniform number favours low indices, so that prefixes differ in popularity.
std::size_t DrawPrefixIndex(std::size_t count, Random& random) {
  const double u = random.Uniform();
  return std::min(count - 1, static_cast<std::size_t>(u * u * static_cast<double>(count)));
}

std::size_t DrawKind(const std::vector<KindTraffic>& kinds, Random& random) {
  double remaining = random.Uniform();
  for (std::size_t i = 0; i + 1 < kinds.size(); ++i) {
    remaining -= kinds[i].share.value();
    if (remaining < 0) return i;
  }
  return kinds.size() - 1;
}

}  // namespace

TraceGenerator::TraceGenerator(const Deployment& deployment, RequestRate rate, std::uint64_t seed)
    : deployment_(deployment), rate_(rate.value()), random_(seed) {
  for (const KindTraffic& kind : deployment.kinds) {
    std::vector<Tokens>& prefixes = prefixes_.emplace_back();
    for (std::size_t i = 0; i < kind.prefixes; ++i) {
      const double tokens =
          static_cast<double>(Draw(kind.prompt, random_).value()) * kind.prefix_share.value();
      prefixes.emplace_back(static_cast<std::uint64_t>(tokens));
    }
  }
}

TraceRequest TraceGenerator::Next() {
  boost::random::exponential_distribution<> inter_arrival_time(rate_);
  time_ += FromSeconds(inter_arrival_time(random_));
  TraceRequest request;
  request.time = time_;
  request.kind = DrawKind(deployment_.kinds, random_);
  const KindTraffic& kind = deployment_.kinds[request.kind];
  const std::size_t prefix_index = DrawPrefixIndex(kind.prefixes, random_);
  constexpr std::uint64_t kKeysPerKind = 1000000;
  request.prefix_key = (request.kind + 1) * kKeysPerKind + prefix_index;
  request.prefix = prefixes_[request.kind][prefix_index];
  const double unshared_tokens =
      static_cast<double>(Draw(kind.prompt, random_).value()) * (1 - kind.prefix_share.value());
  request.prompt = request.prefix + Tokens(1 + static_cast<std::uint64_t>(unshared_tokens));
  request.completion = Draw(kind.completion, random_);
  boost::random::beta_distribution<> difficulty(kind.difficulty_alpha, kind.difficulty_beta);
  request.difficulty = difficulty(random_);
  return request;
}

}  // namespace bamboodock::experiment
