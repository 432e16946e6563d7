#ifndef CORNELWEIR_SRC_ROLLOUT_LIMITS_H_
#define CORNELWEIR_SRC_ROLLOUT_LIMITS_H_

#include <array>
#include <cstddef>
#include <cstdint>

#include "cornelweir/src/kernel/quantity.h"

namespace cornelweir::rollout {

// An operator may resend an order for 4 s, and the first one may be decided up to 2 s after it was
// sent. The same order later than this, after the rollout was rolled back, starts it again.
inline constexpr kernel::milliseconds kOrderResendWindow{6'000};

// The shares of the target version, in order. A bad version may get a tenth of the requests, so the
// first share stays below that.
inline constexpr std::array<kernel::traffic_share, 4> kShareSteps{
    kernel::traffic_share(83), kernel::traffic_share(250), kernel::traffic_share(500),
    kernel::kAllTraffic};
inline constexpr kernel::traffic_share kCanaryShare = kShareSteps.front();
// How long the requests for the target go to the same part of its upstreams.
inline constexpr kernel::milliseconds kSubsetPeriod{1'500};
// Minimum duration of the first step and of each further one.
inline constexpr kernel::milliseconds kMinCanaryTime{2'000};
inline constexpr kernel::milliseconds kStepTime{700};
// The steps end by this percentage of the duration, if the evidence suffices.
inline constexpr std::int64_t kStepsEndPercent = 70;
// After this percentage of the duration, the target gets all requests at once, without further
// steps, evidence or free slots. A rollout that waited until 80% and then took every step began the
// last one at 91% of 16 s, which left less than kSilentDaemonTime for the old upstreams to end.
inline constexpr std::int64_t kLatestStepPercent = 75;
// A new leader makes no step but a rollback for this long: the daemons that are connected report
// within one kSamplePeriod, and those that changed their control host take longer.
inline constexpr kernel::milliseconds kCollectTime{750};
// Responses of the target version that a route needs at the first step. A route with less traffic
// needs a third of the duration instead.
inline constexpr std::int64_t kMinResponses = 100;
inline constexpr std::int64_t kLowTrafficTimeDivisor = 3;
// The share may use at most this percentage of the slots of the target version.
inline constexpr std::int64_t kUsableSlotsPercent = 90;
// An older report says nothing about the load of an upstream.
inline constexpr kernel::milliseconds kMaxLoadAge{1'000};
// A daemon without a report for this long no longer delays the completion.
inline constexpr kernel::milliseconds kSilentDaemonTime{3'000};
// A daemon without a confirmed control host for this long closes its upstream if the rollout may
// have gone on without it. Shorter than kSilentDaemonTime by the 0.7 s for which a message may be
// under way before its link is closed.
inline constexpr kernel::milliseconds kUnconfirmedCloseTime{2'200};

// Interval of the reports of the daemons beside the upstreams, and of their evaluation.
inline constexpr kernel::milliseconds kSamplePeriod{250};
// Recent periods that are judged in addition to the whole step, as a fault that appears late would
// be hidden by the responses before it.
inline constexpr kernel::milliseconds kShortWindow{1'000};
inline constexpr kernel::milliseconds kLongWindow{3'000};
// Slowness is judged over at least this time, since single upstreams may stall for 0.6 s.
inline constexpr kernel::milliseconds kMinSlownessTime{2'000};

// The largest probability of a difference as large by chance that counts as evidence. A rollout is
// judged about 100 times, mostly on the same responses.
inline constexpr double kSignificance = 1e-6;
// Standard deviations of the normal distribution with about that tail probability.
inline constexpr double kSignificantDeviations = 4.75;
// Smaller differences in the fraction of failures do not matter. At the last step no released
// version serves at the same time; the earlier evidence that is used instead may come from a time
// with another load, so the difference must be larger.
inline constexpr double kMinFailureDifference = 0.015;
inline constexpr double kMinLaterFailureDifference = 0.1;
// Ratio of the medians of the run times. A larger one is needed if the differences between the
// upstreams make it likely.
inline constexpr double kMinSlowness = 1.5;
inline constexpr double kMinLaterSlowness = 2.0;
// Standard deviations by which the medians must differ more than those of different upstreams do.
// Smaller than kSignificantDeviations, as the speeds of upstreams are bounded and have no long
// tail.
inline constexpr double kSpreadDeviations = 4.35;
// Standard deviation of the logarithms of the upstreams' medians until it has been measured at this
// number of upstreams and at half of those in use: speeds that differ by factors of 0.55 to 1.6.
inline constexpr double kAssumedSpeedDeviation = 0.31;
inline constexpr std::size_t kMinMeasuredUpstreams = 4;
// The same for the differences that stalls of single upstreams cause over a few seconds.
inline constexpr double kStallDeviation = 0.17;
// Standard error of the logarithm of a median, times the square root of the number of run times.
inline constexpr double kMedianError = 0.5;
// Fewer responses of a version are not judged for slowness.
inline constexpr std::int64_t kMinRunTimes = 20;

// The histogram of run times has this number of buckets for each doubling. The last bucket also
// holds longer times.
inline constexpr int kBucketsPerDoubling = 8;
inline constexpr std::size_t kHistogramBuckets = 160;
inline constexpr kernel::microseconds kShortestRunTime{500};

// Connections of one upstream that break within this time of each other broke by one fault.
inline constexpr kernel::milliseconds kSameFaultTime{10};
// Routes of a service that a daemon counts separately. Further ones are not counted.
inline constexpr std::size_t kMaxCountedRoutes = 64;

}  // namespace cornelweir::rollout

#endif  // CORNELWEIR_SRC_ROLLOUT_LIMITS_H_
