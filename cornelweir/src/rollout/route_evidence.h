#ifndef CORNELWEIR_SRC_ROLLOUT_ROUTE_EVIDENCE_H_
#define CORNELWEIR_SRC_ROLLOUT_ROUTE_EVIDENCE_H_

#include <cstdint>
#include <tuple>

#include "cornelweir/src/kernel/field.h"
#include "cornelweir/src/rollout/log_histogram.h"

namespace cornelweir::rollout {

// What was counted of the requests of one route that ran.
struct route_evidence {
  // All results, failures included.
  std::int64_t responses = 0;
  // Server errors, broken connections and timeouts.
  std::int64_t failures = 0;
  // Run times of responses and timeouts. A fast failure says nothing about the speed.
  log_histogram run_times;

  void Add(const route_evidence& other) {
    responses += other.responses;
    failures += other.failures;
    run_times.Add(other.run_times);
  }
  // Requires that other is included in this evidence.
  void Subtract(const route_evidence& other) {
    responses -= other.responses;
    failures -= other.failures;
    run_times.Subtract(other.run_times);
  }

  static constexpr auto Fields() {
    return std::tuple{kernel::field{"n", &route_evidence::responses},
                      kernel::field{"f", &route_evidence::failures},
                      kernel::field{"t", &route_evidence::run_times}};
  }
  friend bool operator==(const route_evidence&, const route_evidence&) = default;
};

}  // namespace cornelweir::rollout

#endif  // CORNELWEIR_SRC_ROLLOUT_ROUTE_EVIDENCE_H_
