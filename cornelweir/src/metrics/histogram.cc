#include "cornelweir/src/metrics/histogram.h"

#include <cmath>
#include <cstddef>
#include <limits>

#include "cornelweir/src/metrics/limits.h"

namespace cornelweir::metrics {
namespace internal {
namespace {

// The library's bins include their lower edge, Prometheus' include the upper one. An edge just
// above each bound gives the latter.
std::vector<double> BinEdges(const std::vector<double>& upper_bounds) {
  std::vector<double> edges{std::numeric_limits<double>::lowest()};
  for (const double bound : upper_bounds) {
    edges.push_back(std::nextafter(bound, std::numeric_limits<double>::infinity()));
  }
  return edges;
}

}  // namespace
}  // namespace internal

std::vector<double> LatencyBounds() {
  return {0.0001, 0.0005, 0.001, 0.0015, 0.0025, 0.005, 0.01, 0.05, 0.1, 0.5, 1, 5, 10};
}

histogram::histogram(const std::vector<double>& upper_bounds)
    : upper_bounds_(upper_bounds),
      buckets_(boost::histogram::make_histogram(axis(internal::BinEdges(upper_bounds)))),
      summary_(boost::accumulators::tag::rolling_window::window_size = kRollingWindow) {}

void histogram::Observe(double value) {
  if (std::isnan(value)) return;
  buckets_(value);
  summary_(value);
}

std::vector<std::pair<double, std::uint64_t>> histogram::CumulativeBuckets() const {
  std::vector<std::pair<double, std::uint64_t>> cumulative;
  double total = buckets_.at(-1);
  for (std::size_t index = 0; index < upper_bounds_.size(); ++index) {
    total += buckets_.at(static_cast<int>(index));
    cumulative.emplace_back(upper_bounds_[index], static_cast<std::uint64_t>(total));
  }
  return cumulative;
}

std::uint64_t histogram::count() const { return boost::accumulators::count(summary_); }
double histogram::sum() const { return boost::accumulators::sum(summary_); }
double histogram::mean() const { return count() == 0 ? 0 : boost::accumulators::mean(summary_); }
double histogram::max() const { return count() == 0 ? 0 : boost::accumulators::max(summary_); }
double histogram::rolling_mean() const {
  return count() == 0 ? 0 : boost::accumulators::rolling_mean(summary_);
}

}  // namespace cornelweir::metrics
