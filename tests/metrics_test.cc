#include "cornelweir/metrics.h"

#include <gtest/gtest.h>

#include <cmath>
#include <string>
#include <variant>

namespace cornelweir::metrics {
namespace {

TEST(Metrics, RendersCountersAndGaugesByName) {
  metrics_registry registry;
  registry.Gauge("slots_free", "Free slots.").Set(2.5);
  registry.Counter("requests_total", "Requests.", {{"class", "ran"}}).Increment(3);
  registry.Counter("requests_total", "Requests.", {{"class", "ran"}}).Increment();
  EXPECT_EQ(registry.Render(),
            "# HELP requests_total Requests.\n"
            "# TYPE requests_total counter\n"
            "requests_total{class=\"ran\"} 4\n"
            "# HELP slots_free Free slots.\n"
            "# TYPE slots_free gauge\n"
            "slots_free 2.5\n");
}

// Guards against memory that grows with the number of workspaces, and against lost counts.
TEST(Metrics, CountsWorkspacesBeyondTheBoundUnderOther) {
  metrics_registry registry;
  for (int workspace = 0; workspace < 1000; ++workspace) {
    registry.Counter("requests_total", "", {{"tenant", "t" + std::to_string(workspace)}})
        .Increment();
  }
  registry.Counter("requests_total", "", {{"tenant", "t0"}}).Increment();
  const std::string text = registry.Render();
  EXPECT_NE(text.find("{tenant=\"t0\"} 2\n"), std::string::npos);
  EXPECT_NE(text.find("{tenant=\"other\"} " + std::to_string(1000 - kMaxLabelValues) + "\n"),
            std::string::npos);
  EXPECT_EQ(text.find("\"t999\""), std::string::npos);
}

// Guards against a caller's workspace id that ends the label or the line.
TEST(Metrics, EscapesAndCleansLabelValues) {
  metrics_registry registry;
  registry.Counter("c", "", {{"tenant", "a\"b\\c\nd\xff"}}).Increment();
  EXPECT_NE(registry.Render().find("c{tenant=\"a\\\"b\\\\c_d_\"} 1\n"), std::string::npos);
}

// Guards against values equal to a bound being counted above it.
TEST(Metrics, HistogramBucketsIncludeTheirUpperBound) {
  metrics_registry registry;
  histogram& sizes = registry.Histogram("size", "Sizes.", {}, {1, 2});
  for (const double value : {-1.0, 1.0, 2.0, 2.5, std::nan("")}) sizes.Observe(value);
  const std::string text = registry.Render();
  for (const char* line :
       {"size_bucket{le=\"1\"} 2\n", "size_bucket{le=\"2\"} 3\n", "size_bucket{le=\"+Inf\"} 4\n",
        "size_sum 4.5\n", "size_count 4\n", "size_mean 1.125\n", "size_max 2.5\n",
        "size_rolling_mean 1.125\n", "# TYPE size histogram\n", "# TYPE size_max gauge\n"}) {
    EXPECT_NE(text.find(line), std::string::npos) << line << "in\n" << text;
  }
}

TEST(Metrics, RollingMeanForgetsOldValues) {
  histogram latency(LatencyBounds());
  EXPECT_EQ(latency.rolling_mean(), 0);
  EXPECT_EQ(latency.max(), 0);
  latency.Observe(1000);
  for (std::size_t i = 0; i < kRollingWindow; ++i) latency.Observe(1);
  EXPECT_DOUBLE_EQ(latency.rolling_mean(), 1);
  EXPECT_EQ(latency.max(), 1000);
}

// Guards against two types under one name, which a scraper refuses as a whole.
TEST(Metrics, ANameHasOneType) {
  metrics_registry registry;
  registry.Counter("c", "");
  EXPECT_THROW(registry.Gauge("c", ""), std::bad_variant_access);
}

}  // namespace
}  // namespace cornelweir::metrics
