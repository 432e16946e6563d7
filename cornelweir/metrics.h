#ifndef CORNELWEIR_METRICS_H_
#define CORNELWEIR_METRICS_H_

// Counters, gauges and histograms in the Prometheus text format.

#include "cornelweir/src/metrics/counter.h"
#include "cornelweir/src/metrics/gauge.h"
#include "cornelweir/src/metrics/histogram.h"
#include "cornelweir/src/metrics/label.h"
#include "cornelweir/src/metrics/limits.h"
#include "cornelweir/src/metrics/metrics_registry.h"

#endif  // CORNELWEIR_METRICS_H_
