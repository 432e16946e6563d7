#include "cornelweir/src/rollout/evidence_series.h"

#include <algorithm>
#include <utility>
#include <vector>

#include "cornelweir/src/rollout/limits.h"

namespace cornelweir::rollout {
namespace internal {

// The evidence of all routes together.
route_comparison Sum(const std::map<kernel::route_name, route_comparison>& routes) {
  route_comparison sum;
  for (const auto& [route, compared] : routes) {
    sum.target.Add(compared.target);
    sum.released.Add(compared.released);
  }
  return sum;
}

}  // namespace internal

void evidence_series::StartStep(const rollout_record& record) {
  if (record.started != record_.started) {
    totals_.clear();
    evaluations_.clear();
    earlier_steps_ = {};
    speed_deviations_.clear();
    released_upstreams_ = 0;
  } else if (ReleasedServe()) {
    const route_comparison ended = internal::Sum(Since(step_start_));
    earlier_steps_.Add(ended.target, ended.released);
  }
  record_ = record;
  step_start_ = totals_;
  daemons_.clear();
}

void evidence_series::Receive(const rollout_sample& sample) {
  if (sample.service != record_.service || sample.revision != record_.revision) return;
  const bool is_target = BelongsTo(record_, version_group::kTarget, sample.version);
  if (!is_target && !BelongsTo(record_, version_group::kReleased, sample.version)) return;
  counted& known = daemons_[sample.daemon];
  if (known.since != sample.counted_since || known.version != sample.version) {
    // A report that was overtaken by one of a later process.
    if (sample.counted_since < known.since) return;
    known = {sample.counted_since, sample.version, {}, known.added, known.added_at};
  }
  for (const auto& [route, evidence] : sample.routes) {
    route_evidence& previous = known.routes[route];
    if (evidence.responses <= previous.responses) continue;
    route_evidence added = evidence;
    added.Subtract(previous);
    previous = evidence;
    known.added = true;
    route_comparison& total = totals_[route];
    (is_target ? total.target : total.released).Add(added);
  }
}

void evidence_series::MeasureSpeeds(kernel::time_point now) {
  constexpr double kMedian = 0.5;
  std::map<kernel::route_name, std::vector<kernel::microseconds>> medians;
  std::size_t released_upstreams = 0;
  for (auto& [daemon, known] : daemons_) {
    if (std::exchange(known.added, false)) known.added_at = now;
    if (known.routes.empty() || BelongsTo(record_, version_group::kTarget, known.version)) continue;
    ++released_upstreams;
    for (const auto& [route, evidence] : known.routes) {
      if (evidence.run_times.total() < kMinRunTimes) continue;
      medians[route].push_back(evidence.run_times.Quantile(kMedian));
    }
  }
  released_upstreams_ = std::max(released_upstreams_, released_upstreams);
  for (const auto& [route, measured] : medians) {
    auto& [count, deviation] = speed_deviations_[route];
    if (measured.size() < std::max(count, kMinMeasuredUpstreams)) continue;
    count = measured.size();
    deviation = DeviationOf(measured);
  }
}

speed_spread evidence_series::SpreadOf(const kernel::route_name& route,
                                       kernel::time_point since) const {
  speed_spread spread;
  const auto found = speed_deviations_.find(route);
  if (found != speed_deviations_.end() && found->second.first > 0) {
    spread.deviation = found->second.second;
  }
  spread.released_upstreams = released_upstreams_;
  for (const auto& [daemon, known] : daemons_) {
    if (!known.routes.empty() && known.added_at > since &&
        BelongsTo(record_, version_group::kTarget, known.version)) {
      ++spread.target_upstreams;
    }
  }
  return spread;
}

evidence_series::comparisons evidence_series::Since(const comparisons& earlier) const {
  comparisons recent = totals_;
  for (const auto& [route, before] : earlier) {
    route_comparison& compared = recent[route];
    compared.target.Subtract(before.target);
    compared.released.Subtract(before.released);
  }
  return recent;
}

const evidence_series::comparisons* evidence_series::TotalsBefore(kernel::microseconds age,
                                                                  kernel::time_point now) const {
  const comparisons* latest = nullptr;
  for (const auto& [evaluated_at, totals] : evaluations_) {
    if (now - evaluated_at < age) break;
    latest = &totals;
  }
  return latest;
}

// At the last step, the released versions have only ended the requests that they still ran. Their
// earlier responses take the place of those.
std::optional<bad_route> evidence_series::JudgeFailuresSince(const comparisons& earlier) const {
  for (auto& [route, compared] : Since(earlier)) {
    const route_evidence& released =
        ReleasedServe() ? compared.released : totals_.at(route).released;
    const finding found =
        JudgeFailures(compared.target, released, ReleasedServe() ? judge_limits() : kLaterLimits);
    if (found != finding::kNone) return bad_route{route, found, {compared.target, released}};
  }
  return std::nullopt;
}

std::optional<bad_route> evidence_series::JudgeAllFailures() const {
  if (!ReleasedServe()) return std::nullopt;
  const route_comparison step = internal::Sum(Since(step_start_));
  finding found = JudgeFailures(step.target, step.released);
  if (found == finding::kNone && earlier_steps_.responses > 0) {
    failure_score all_steps = earlier_steps_;
    all_steps.Add(step.target, step.released);
    found = JudgeFailures(all_steps);
  }
  if (found == finding::kNone) return std::nullopt;
  return bad_route{{}, found, internal::Sum(totals_)};
}

std::optional<bad_route> evidence_series::JudgeRunTimesSince(const comparisons& earlier,
                                                             kernel::time_point since) const {
  for (auto& [route, compared] : Since(earlier)) {
    const route_evidence& released =
        ReleasedServe() ? compared.released : totals_.at(route).released;
    const finding found =
        JudgeRunTimes(compared.target.run_times, released.run_times, SpreadOf(route, since),
                      ReleasedServe() ? judge_limits() : kLaterLimits);
    if (found != finding::kNone) return bad_route{route, found, {compared.target, released}};
  }
  return std::nullopt;
}

std::optional<bad_route> evidence_series::Judge(kernel::time_point now) {
  MeasureSpeeds(now);
  evaluations_.emplace_back(now, totals_);
  // One evaluation that is at least as old as the longest window is needed.
  while (evaluations_.size() > 1 && now - evaluations_[1].first >= kLongWindow) {
    evaluations_.pop_front();
  }
  std::optional<bad_route> bad = JudgeAllFailures();
  if (!bad) bad = JudgeFailuresSince(step_start_);
  const comparisons* before = TotalsBefore(kShortWindow, now);
  if (!bad && before != nullptr) bad = JudgeFailuresSince(*before);
  before = TotalsBefore(kMinSlownessTime, now);
  // The oldest evaluation kept is at most one period older than the longest window.
  if (!bad && before != nullptr) {
    bad = JudgeRunTimesSince(evaluations_.front().second, evaluations_.front().first);
  }
  // The whole first step has evidence from more upstreams of the target.
  if (!bad && before != nullptr && record_.share <= kCanaryShare) {
    bad = JudgeRunTimesSince(step_start_, kernel::time_point::min());
  }
  return bad;
}

bool evidence_series::Suffices(kernel::microseconds elapsed) const {
  if (elapsed * 100 >= kernel::microseconds(record_.duration) * kLatestStepPercent) return true;
  const bool low_traffic_time = elapsed >= record_.duration / kLowTrafficTimeDivisor;
  const std::int64_t released_share = kernel::kAllTraffic.value() - record_.share.value();
  return std::all_of(totals_.begin(), totals_.end(), [&](const auto& entry) {
    const route_comparison& compared = entry.second;
    if (compared.target.responses >= kMinResponses) return true;
    if (!low_traffic_time || released_share == 0) return false;
    // A target whose upstreams became ready late has had only a part of its share.
    const std::int64_t expected =
        compared.released.responses * record_.share.value() / released_share;
    return compared.target.responses * 4 >= std::min(expected, kMinResponses);
  });
}

}  // namespace cornelweir::rollout
