#ifndef CORNELWEIR_SRC_METRICS_METRICS_REGISTRY_H_
#define CORNELWEIR_SRC_METRICS_METRICS_REGISTRY_H_

#include <functional>
#include <map>
#include <set>
#include <string>
#include <string_view>
#include <variant>
#include <vector>

#include "cornelweir/src/metrics/counter.h"
#include "cornelweir/src/metrics/gauge.h"
#include "cornelweir/src/metrics/histogram.h"
#include "cornelweir/src/metrics/label.h"

namespace cornelweir::metrics {

// The metrics of a process. The first request for a name and labels creates the series; later ones
// return the same object, which stays valid as long as the registry. Each label of a metric keeps
// its first kMaxLabelValues values; series with other values are counted under "other".
//
// A name has one type. Asking for it as another type is a programming error and throws
// std::bad_variant_access.
class metrics_registry {
 public:
  counter& Counter(std::string_view name, std::string_view help, const label_list& labels = {});
  gauge& Gauge(std::string_view name, std::string_view help, const label_list& labels = {});
  // All series of a histogram have the bounds of the first request.
  histogram& Histogram(std::string_view name, std::string_view help, const label_list& labels = {},
                       const std::vector<double>& upper_bounds = LatencyBounds());

  // All metrics in the Prometheus text format, version 0.0.4, ordered by name. A histogram is
  // followed by gauges of its mean, maximum and rolling mean.
  std::string Render() const;

 private:
  template <class Metric>
  struct family {
    std::string help;
    std::map<std::string, std::set<std::string>> values_by_label;
    std::map<label_list, Metric> series;
    std::vector<double> upper_bounds;
  };
  using any_family = std::variant<family<counter>, family<gauge>, family<histogram>>;

  template <class Metric>
  family<Metric>& FamilyOf(std::string_view name, std::string_view help);

  template <class Metric>
  static label_list BoundLabels(family<Metric>& metric, const label_list& labels);

  static void RenderFamily(std::string& text, const std::string& name,
                           const family<counter>& metric);
  static void RenderFamily(std::string& text, const std::string& name, const family<gauge>& metric);
  static void RenderFamily(std::string& text, const std::string& name,
                           const family<histogram>& metric);

  std::map<std::string, any_family, std::less<>> families_;
};

}  // namespace cornelweir::metrics

#endif  // CORNELWEIR_SRC_METRICS_METRICS_REGISTRY_H_
