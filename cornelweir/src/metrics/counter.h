#ifndef CORNELWEIR_SRC_METRICS_COUNTER_H_
#define CORNELWEIR_SRC_METRICS_COUNTER_H_

#include <cstdint>

namespace cornelweir::metrics {

// A number of events since the process started.
class counter {
 public:
  void Increment(std::uint64_t by = 1) { value_ += by; }
  std::uint64_t value() const { return value_; }

 private:
  std::uint64_t value_ = 0;
};

}  // namespace cornelweir::metrics

#endif  // CORNELWEIR_SRC_METRICS_COUNTER_H_
