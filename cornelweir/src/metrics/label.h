#ifndef CORNELWEIR_SRC_METRICS_LABEL_H_
#define CORNELWEIR_SRC_METRICS_LABEL_H_

#include <compare>
#include <string>
#include <vector>

namespace cornelweir::metrics {

// Distinguishes a series of a metric from the others, for example tenant="payroll".
struct label {
  std::string name;
  std::string value;

  friend auto operator<=>(const label&, const label&) = default;
};

using label_list = std::vector<label>;

}  // namespace cornelweir::metrics

#endif  // CORNELWEIR_SRC_METRICS_LABEL_H_
