#ifndef CORNELWEIR_SRC_METRICS_GAUGE_H_
#define CORNELWEIR_SRC_METRICS_GAUGE_H_

namespace cornelweir::metrics {

// A value that goes up and down.
class gauge {
 public:
  void Set(double value) { value_ = value; }
  void Add(double by) { value_ += by; }
  double value() const { return value_; }

 private:
  double value_ = 0;
};

}  // namespace cornelweir::metrics

#endif  // CORNELWEIR_SRC_METRICS_GAUGE_H_
