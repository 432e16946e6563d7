#include "cornelweir/quarantine.h"

#include <gtest/gtest.h>
#include <rapidcheck/gtest.h>

#include <algorithm>
#include <chrono>
#include <cstddef>
#include <cstdint>
#include <map>
#include <string>
#include <vector>

namespace cornelweir::quarantine {
namespace {

using kernel::fingerprint;
using kernel::incarnation;
using std::chrono::minutes;
using std::chrono::seconds;

const kernel::time_point kStart{seconds(10'000)};
const fingerprint kRequest(7);
const kernel::upstream_id kUpstream("u1");

// A crash with the request and others that are in progress at no other crash.
crash_report CrashWith(std::vector<fingerprint> requests, std::size_t others,
                       std::uint64_t process) {
  for (std::size_t i = 0; i < others; ++i) requests.emplace_back(1'000 * process + i);
  return {kUpstream, incarnation(process), std::move(requests)};
}

// Guards against a request that crashes every upstream being passed on without end, and against a
// report that is sent again counting as a second crash.
TEST(CrashTracker, QuarantinesAfterCrashesOfTwoIncarnations) {
  crash_tracker tracker;
  EXPECT_FALSE(tracker.Report(kRequest, kUpstream, incarnation(1), kStart));
  EXPECT_FALSE(tracker.Report(kRequest, kUpstream, incarnation(1), kStart));
  EXPECT_TRUE(tracker.Report(kRequest, kUpstream, incarnation(2), kStart));
  EXPECT_EQ(tracker.Quarantined().size(), 1U);
}

// Guards against innocent requests being quarantined, and against a harmful one hiding in a crowd.
TEST(CrashTracker, WeighsACrashByTheRequestsInProgress) {
  crash_tracker tracker;
  tracker.ReportCrash(CrashWith({kRequest}, 19, 1), kStart);
  EXPECT_EQ(tracker.ReportCrash(CrashWith({kRequest}, 19, 2), kStart), std::vector{kRequest})
      << "the only request that was in progress at both crashes";

  const std::vector<fingerprint> pair = {fingerprint(8), fingerprint(9)};
  tracker.ReportCrash(CrashWith(pair, 6, 3), kStart);
  EXPECT_EQ(tracker.ReportCrash(CrashWith(pair, 6, 4), kStart), pair);

  const std::vector<fingerprint> crowd = {fingerprint(10), fingerprint(11)};
  for (std::uint64_t process = 5; process < 8; ++process) {
    EXPECT_TRUE(tracker.ReportCrash(CrashWith(crowd, 18, process), kStart).empty());
  }
  EXPECT_EQ(tracker.ReportCrash(CrashWith(crowd, 18, 8), kStart), crowd);
}

TEST(CrashTracker, QuarantineEndsByTimeOrByAnOperator) {
  crash_tracker tracker;
  tracker.Report(kRequest, kUpstream, incarnation(1), kStart);
  tracker.Report(kRequest, kUpstream, incarnation(2), kStart);
  tracker.Expire(kStart + kQuarantineTime - seconds(1));
  EXPECT_EQ(tracker.Quarantined().size(), 1U);
  tracker.Expire(kStart + kQuarantineTime);
  EXPECT_TRUE(tracker.Quarantined().empty());
  // Sent again after its quarantine it needs one more crash, not two.
  EXPECT_TRUE(tracker.Report(kRequest, kUpstream, incarnation(3), kStart + minutes(11)));
  EXPECT_TRUE(tracker.Release(kRequest));
  EXPECT_FALSE(tracker.Release(kRequest));
  EXPECT_FALSE(tracker.Report(kRequest, kUpstream, incarnation(4), kStart + minutes(12)));
  EXPECT_FALSE(tracker.Report(kRequest, kUpstream, incarnation(5), kStart + minutes(72)))
      << "a crash an hour ago must not count";
}

// Guards against a flood of reports pushing out the evidence against the request that matters.
TEST(CrashTracker, GivesUpTheWeakestEvidenceFirst) {
  crash_tracker tracker;
  tracker.Report(kRequest, kUpstream, incarnation(1), kStart);
  for (std::uint64_t process = 2; process < 1'000; ++process) {
    tracker.ReportCrash(CrashWith({}, 20, process), kStart + seconds(1));
  }
  EXPECT_EQ(tracker.state().suspects.size(), kMaxSuspects);
  EXPECT_TRUE(tracker.Report(kRequest, kUpstream, incarnation(1'000), kStart + seconds(2)));
}

// Guards against frequent requests, which are in progress at any crash, being reported.
TEST(SuspectFilter, LeavesOutWhatCompletedAMomentAgo) {
  suspect_filter filter;
  const std::vector<fingerprint> in_progress = {kRequest, fingerprint(7 + kRememberedCompletions),
                                                fingerprint(0)};
  filter.OnCompleted(kRequest, kStart);
  EXPECT_EQ(filter.Suspects(in_progress, kStart).size(), 2U);
  EXPECT_EQ(filter.Suspects(in_progress, kStart + kCompletionMemory).size(), 3U);
}

// Guards against a daemon without a publisher refusing a request without end.
TEST(QuarantineList, EndsByTheDaemonsOwnClock) {
  quarantine_list list;
  const kernel::log_time until(1);
  list.Replace({{kRequest, until}}, kStart);
  list.Replace({{kRequest, until}}, kStart + minutes(9));
  EXPECT_TRUE(list.Contains(kRequest, kStart + minutes(9)));
  EXPECT_FALSE(list.Contains(fingerprint(8), kStart));
  EXPECT_FALSE(list.Contains(kRequest, kStart + minutes(10)));
  list.Replace({{kRequest, kernel::log_time(2)}}, kStart + minutes(11));
  EXPECT_TRUE(list.Contains(kRequest, kStart + minutes(11))) << "quarantined again";
  list.Replace({}, kStart + minutes(12));
  EXPECT_FALSE(list.Contains(kRequest, kStart + minutes(12)));
}

// Guards against a replica that was restored from a snapshot deciding differently from the others,
// and against quarantine after fewer crashes than needed or missing after enough.
RC_GTEST_PROP(CrashTracker, RestoredCopyDecidesAlikeAndCountsIncarnations, ()) {
  crash_tracker tracker;
  crash_tracker copy;
  kernel::time_point now = kStart;
  kernel::time_point latest = kStart;
  struct evidence {
    std::vector<std::uint64_t> processes;
    kernel::time_point last;
  };
  std::map<fingerprint, evidence> seen;
  const auto schedule =
      *rc::gen::container<std::vector<std::uint32_t>>(150, rc::gen::inRange(0U, 1U << 30));
  for (const std::uint32_t step : schedule) {
    const std::uint32_t value = step / 16;
    // A time that is earlier than the one before counts as equal to it.
    now += seconds(static_cast<std::int64_t>(value / 4096 % 100) - 10);
    latest = std::max(latest, now);
    if (step % 16 == 0) {
      copy.Restore(tracker.Snapshot());
    } else if (step % 16 == 1) {
      const fingerprint request(value % 6);
      RC_ASSERT(tracker.Release(request) == copy.Release(request));
      seen.erase(request);
    } else {
      crash_report report{kUpstream, incarnation(value / 64 % 16), {}};
      for (std::uint32_t i = 0; i < 6; ++i) {
        if ((value >> i) % 2 == 1) report.requests.emplace_back(i);
      }
      const auto quarantined = tracker.ReportCrash(report, now);
      RC_ASSERT(copy.ReportCrash(report, now) == quarantined);
      for (const fingerprint request : report.requests) {
        auto& [processes, last] = seen[request];
        if (latest - last >= kSuspicionTime) processes.clear();
        const std::uint64_t process = report.process.value();
        // Six requests at most are in progress: two crashes are enough.
        const bool repeated =
            std::find(processes.begin(), processes.end(), process) != processes.end();
        if (!repeated) {
          processes.push_back(process);
          last = latest;
        }
        const auto list = tracker.Quarantined();
        const bool held = std::any_of(list.begin(), list.end(),
                                      [&](const auto& entry) { return entry.request == request; });
        if (!repeated) RC_ASSERT(held == (processes.size() >= kMinCrashes));
      }
    }
    RC_ASSERT(tracker.Snapshot() == copy.Snapshot());
  }
}

}  // namespace
}  // namespace cornelweir::quarantine
