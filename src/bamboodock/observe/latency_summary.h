#pragma once

#include <boost/accumulators/accumulators.hpp>
#include <boost/accumulators/statistics/count.hpp>
#include <boost/accumulators/statistics/extended_p_square.hpp>
#include <boost/accumulators/statistics/stats.hpp>
#include <boost/accumulators/statistics/sum.hpp>
#include <string>

#include "bamboodock/core/units.h"

namespace bamboodock {

/// Quantiles, count and sum of durations. Not thread-safe: owned by one duty, since quantiles of
/// several summaries cannot be merged.
class LatencySummary {
 public:
  LatencySummary();

  void Add(Duration duration);
  /// Summary in the Prometheus text format, in seconds; without quantiles while there are too few
  /// samples.
  std::string Prometheus(const std::string& name, const std::string& labels) const;

 private:
  using Statistics = boost::accumulators::accumulator_set<
      double,
      boost::accumulators::stats<boost::accumulators::tag::count, boost::accumulators::tag::sum,
                                 boost::accumulators::tag::extended_p_square>>;
  Statistics statistics_;
};

}  // namespace bamboodock
