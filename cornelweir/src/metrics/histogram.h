#ifndef CORNELWEIR_SRC_METRICS_HISTOGRAM_H_
#define CORNELWEIR_SRC_METRICS_HISTOGRAM_H_

#include <boost/accumulators/accumulators.hpp>
#include <boost/accumulators/statistics/count.hpp>
#include <boost/accumulators/statistics/max.hpp>
#include <boost/accumulators/statistics/mean.hpp>
#include <boost/accumulators/statistics/rolling_mean.hpp>
#include <boost/accumulators/statistics/stats.hpp>
#include <boost/accumulators/statistics/sum.hpp>
#include <boost/histogram.hpp>
#include <cstdint>
#include <utility>
#include <vector>

namespace cornelweir::metrics {

// Upper bounds for latencies in seconds, from 0.1 ms to 10 s. 1.5 ms is the added latency allowed
// per call.
std::vector<double> LatencyBounds();

// The distribution of observed values, with their mean, maximum and rolling mean.
class histogram {
 public:
  // The bounds are ascending and finite; there is at least one.
  explicit histogram(const std::vector<double>& upper_bounds);

  // Ignores what is not a number.
  void Observe(double value);

  // For each upper bound the number of values up to and including it.
  std::vector<std::pair<double, std::uint64_t>> CumulativeBuckets() const;

  std::uint64_t count() const;
  double sum() const;
  double mean() const;
  // 0 without observations, like the mean.
  double max() const;
  // The mean of the latest kRollingWindow values.
  double rolling_mean() const;

 private:
  using axis = boost::histogram::axis::variable<double>;
  using buckets = decltype(boost::histogram::make_histogram(std::declval<axis>()));
  using summary = boost::accumulators::accumulator_set<
      double,
      boost::accumulators::stats<boost::accumulators::tag::count, boost::accumulators::tag::sum,
                                 boost::accumulators::tag::mean, boost::accumulators::tag::max,
                                 boost::accumulators::tag::rolling_mean>>;

  std::vector<double> upper_bounds_;
  buckets buckets_;
  summary summary_;
};

}  // namespace cornelweir::metrics

#endif  // CORNELWEIR_SRC_METRICS_HISTOGRAM_H_
