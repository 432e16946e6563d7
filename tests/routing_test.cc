#include "cornelweir/routing.h"

#include <gtest/gtest.h>

#include <chrono>
#include <map>
#include <string>

namespace cornelweir::routing {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

const kernel::time_point kStart{seconds(1000)};
const kernel::service_name kForms("forms");

table::row_map Rows() {
  table::row_map rows;
  const kernel::limit_name limit("standard");
  const kernel::wait_name wait("short");
  rows[table::KeyOf(limit)] = table::limit_row{};
  rows[table::KeyOf(wait)] = table::wait_row{2000, 200};
  rows[table::KeyOf(kForms)] = table::service_row{limit, wait, {}};
  rows[table::SplitKey(kForms, kernel::subset_name("v1"))] = table::split_row{kernel::weight(90)};
  rows[table::SplitKey(kForms, kernel::subset_name("v2"))] = table::split_row{kernel::weight(10)};
  rows[{table::row_kind::kRoute, "forms"}] = table::route_row{"/forms", kForms, false};
  rows[{table::row_kind::kRoute, "drafts"}] = table::route_row{"/forms/drafts", kForms, true};
  return rows;
}

upstream_candidate Candidate(const std::string& id, const std::string& subset) {
  upstream_candidate candidate;
  candidate.id = kernel::upstream_id(id);
  candidate.service = kForms;
  candidate.subset = kernel::subset_name(subset);
  candidate.domain = kernel::failure_domain("a");
  candidate.slots = kernel::request_count(20);
  candidate.incarnation = kernel::incarnation(1);
  return candidate;
}

TEST(RouteIndex, FindsTheLongestPrefixAtASegmentBorder) {
  const route_index index(Rows());
  EXPECT_EQ(index.Find("/forms/drafts/7?x=/y")->name, kernel::route_name("drafts"));
  EXPECT_EQ(index.Find("/forms/draftsmen")->name, kernel::route_name("forms"));
  EXPECT_EQ(index.Find("/forms")->wait.queue_ms, 200);
  EXPECT_EQ(index.Find("/formsheet"), nullptr);
}

TEST(Balancer, DividesTrafficByWeight) {
  balancer chooser{kernel::failure_domain("a")};
  chooser.Update(Rows(), {Candidate("u1", "v1"), Candidate("u2", "v1"), Candidate("u3", "v2")},
                 kStart);
  kernel::seeded_random random(7);
  std::map<std::string, int> picks;
  for (int i = 0; i < 10'000; ++i) ++picks[chooser.Pick(kForms, {}, kStart, random)->value()];
  EXPECT_NEAR(picks["u3"], 1000, 150);
  EXPECT_NEAR(picks["u1"], 4500, 300);
}

}  // namespace
}  // namespace cornelweir::routing
