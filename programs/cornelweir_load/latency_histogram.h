#ifndef CORNELWEIR_PROGRAMS_CORNELWEIR_LOAD_LATENCY_HISTOGRAM_H_
#define CORNELWEIR_PROGRAMS_CORNELWEIR_LOAD_LATENCY_HISTOGRAM_H_

#include <algorithm>
#include <boost/histogram.hpp>
#include <utility>

#include "cornelweir/kernel.h"

namespace cornelweir::load {

// Latencies in milliseconds; the logarithmic bins are about 1% wide.
class latency_histogram {
 public:
  void Add(kernel::microseconds latency) {
    bins_(std::max(static_cast<double>(latency.count()) / 1000.0, kLowest));
  }

  double Percentile(double percent) const {
    const double total = boost::histogram::algorithm::sum(bins_);
    double seen = 0;
    for (const auto& bin : boost::histogram::indexed(bins_)) {
      seen += static_cast<double>(*bin);
      if (total > 0 && seen >= total * percent / 100.0) return bin.bin().upper();
    }
    return 0;
  }

 private:
  static constexpr double kLowest = 0.01;
  static constexpr double kHighest = 100'000;

  using axis = boost::histogram::axis::regular<double, boost::histogram::axis::transform::log>;
  decltype(boost::histogram::make_histogram(std::declval<axis>())) bins_ =
      boost::histogram::make_histogram(axis(1600, kLowest, kHighest, "ms"));
};

}  // namespace cornelweir::load

#endif  // CORNELWEIR_PROGRAMS_CORNELWEIR_LOAD_LATENCY_HISTOGRAM_H_
