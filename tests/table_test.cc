#include "cornelweir/table.h"

#include <gtest/gtest.h>

namespace cornelweir::table {
namespace {

row_map TwoServices() {
  row_map rows;
  const kernel::limit_name limit("standard");
  const kernel::wait_name wait("short");
  rows[KeyOf(limit)] = limit_row{kernel::request_count(20), kernel::request_count(80),
                                 kernel::request_count(10), kernel::request_count(5)};
  rows[KeyOf(wait)] = wait_row{2000, 200};
  const kernel::service_name forms("forms");
  const kernel::service_name intake("intake");
  rows[KeyOf(forms)] = service_row{limit, wait, {intake}};
  rows[KeyOf(intake)] = service_row{limit, wait, {}};
  rows[SplitKey(forms, kernel::subset_name("v1"))] = split_row{kernel::weight(100)};
  rows[SplitKey(intake, kernel::subset_name("v1"))] = split_row{kernel::weight(100)};
  rows[row_key{row_kind::kRoute, "forms"}] = route_row{"/forms", forms, false};
  rows[row_key{row_kind::kRoute, "intake"}] = route_row{"/intake", intake, true};
  return rows;
}

TEST(Validate, AcceptsACompleteTable) { EXPECT_TRUE(Validate(TwoServices()).empty()); }

// Guards against a version with a dangling reference being accepted.
TEST(Validate, NamesTheCellOfAnAbsentReference) {
  row_map rows = TwoServices();
  rows.erase(KeyOf(kernel::wait_name("short")));
  const auto faults = Validate(rows);
  ASSERT_EQ(faults.size(), 2U);
  EXPECT_EQ(faults[0].cell, "wait");
  EXPECT_EQ(ToString(faults[0].key), "service/forms");
}

// Guards against a call cycle, in which requests wait for each other's slots.
TEST(Validate, RefusesACycleOfCalls) {
  row_map rows = TwoServices();
  std::get<service_row>(rows[KeyOf(kernel::service_name("intake"))])
      .calls.emplace_back(std::string("forms"));
  ASSERT_FALSE(Validate(rows).empty());
}

// Guards against a service that no traffic can reach although it is routed to.
TEST(Validate, RefusesWeightsThatSumToNothing) {
  row_map rows = TwoServices();
  rows[SplitKey(kernel::service_name("forms"), kernel::subset_name("v1"))] = split_row{};
  const auto faults = Validate(rows);
  ASSERT_EQ(faults.size(), 1U);
  EXPECT_EQ(ToString(faults[0].key), "service/forms");
}

TEST(Scope, HoldsTheServiceAndWhatItCallsAndIsClosed) {
  const row_map scope = ScopeOf(TwoServices(), kernel::service_name("intake"));
  EXPECT_TRUE(IsClosed(scope));
  EXPECT_EQ(scope.size(), 5U);
  EXPECT_EQ(ScopeOf(TwoServices(), kernel::service_name("forms")).size(), 8U);
  EXPECT_TRUE(ScopeOf(TwoServices(), kernel::service_name("absent")).empty());
}

TEST(Delta, TurnsOneTableIntoTheOther) {
  const row_map from = TwoServices();
  row_map to = from;
  to.erase(row_key{row_kind::kRoute, "intake"});
  to[row_key{row_kind::kRoute, "extra"}] = route_row{"/extra", kernel::service_name("forms"), true};
  std::get<wait_row>(to[KeyOf(kernel::wait_name("short"))]).request_ms = 900;
  row_map changed = from;
  const auto delta = DeltaBetween(from, to);
  EXPECT_EQ(delta.size(), 3U);
  ApplyDelta(delta, changed);
  EXPECT_EQ(changed, to);
}

}  // namespace
}  // namespace cornelweir::table
