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

// The number of upstreams with equal counts whose mean has the same variance as that of these.
double EffectiveCount(const std::map<kernel::endpoint, std::int64_t>& counts) {
  double sum = 0;
  double squares = 0;
  for (const auto& [daemon, count] : counts) {
    sum += static_cast<double>(count);
    squares += static_cast<double>(count) * static_cast<double>(count);
  }
  return squares == 0 ? 0 : sum * sum / squares;
}

}  // namespace internal

void evidence_series::StartStep(const rollout_record& record) {
  if (record.started != record_.started) {
    daemons_.clear();
    totals_.clear();
    evaluations_.clear();
    added_.clear();
    earlier_steps_ = {};
    speed_deviations_.clear();
    released_upstreams_ = 0;
  } else if (ReleasedServe()) {
    const route_comparison ended = internal::Sum(Since(step_start_));
    earlier_steps_.Add(ended.target, ended.released);
  }
  record_ = record;
  step_start_ = totals_;
}

void evidence_series::Receive(const rollout_sample& sample) {
  if (sample.service != record_.service || sample.revision != record_.revision) return;
  const bool is_target = BelongsTo(record_, version_group::kTarget, sample.version);
  if (!is_target && !BelongsTo(record_, version_group::kReleased, sample.version)) return;
  counted& known = daemons_[sample.daemon];
  if (known.since != sample.counted_since || known.version != sample.version) {
    // A report that was overtaken by one of a later process.
    if (sample.counted_since < known.since) return;
    known = {sample.counted_since, sample.version, {}};
  }
  for (const auto& [route, evidence] : sample.routes) {
    route_evidence& previous = known.routes[route];
    if (evidence.responses <= previous.responses) continue;
    route_evidence added = evidence;
    added.Subtract(previous);
    previous = evidence;
    if (is_target) added_[route][sample.daemon] += added.run_times.total();
    route_comparison& total = totals_[route];
    (is_target ? total.target : total.released).Add(added);
  }
}

void evidence_series::MeasureSpeeds() {
  constexpr double kMedian = 0.5;
  std::map<kernel::route_name, std::vector<kernel::microseconds>> medians;
  std::size_t released_upstreams = 0;
  for (auto& [daemon, known] : daemons_) {
    if (known.routes.empty() || BelongsTo(record_, version_group::kTarget, known.version)) continue;
    ++released_upstreams;
    for (const auto& [route, evidence] : known.routes) {
      if (evidence.run_times.total() < kMinRunTimes) continue;
      medians[route].push_back(evidence.run_times.Quantile(kMedian));
    }
  }
  released_upstreams_ = std::max(released_upstreams_, released_upstreams);
  for (const auto& [route, measured] : medians) {
    // The first upstreams that have enough run times are the fastest, so they differ less than all.
    if (measured.size() < kMinMeasuredUpstreams || measured.size() * 2 < released_upstreams_) {
      continue;
    }
    const auto [known, added] = speed_deviations_.try_emplace(route);
    if (!added && measured.size() < known->second.upstreams) continue;
    known->second = {measured.size(), DeviationOf(measured)};
  }
}

evidence_series::run_time_counts evidence_series::AddedAfter(kernel::time_point time) const {
  run_time_counts counts;
  for (const evaluation& each : evaluations_) {
    if (each.evaluated_at <= time) continue;
    for (const auto& [route, daemons] : each.added) {
      for (const auto& [daemon, count] : daemons) counts[route][daemon] += count;
    }
  }
  return counts;
}

evidence_series::run_time_counts evidence_series::AddedInStep() const {
  run_time_counts counts;
  for (const auto& [daemon, known] : daemons_) {
    if (!BelongsTo(record_, version_group::kTarget, known.version)) continue;
    for (const auto& [route, evidence] : known.routes) {
      counts[route][daemon] = evidence.run_times.total();
    }
  }
  return counts;
}

speed_spread evidence_series::SpreadOf(const kernel::route_name& route,
                                       const run_time_counts& targets) const {
  speed_spread spread;
  measured_deviation measured;
  if (const auto found = speed_deviations_.find(route); found != speed_deviations_.end()) {
    measured = found->second;
    spread.deviation = measured.deviation;
  }
  // A few upstreams may happen to be equally fast on a route with little traffic.
  for (const auto& [other_route, other] : speed_deviations_) {
    if (other.upstreams <= measured.upstreams) continue;
    spread.deviation = std::max(spread.deviation, other.deviation);
  }
  spread.released_upstreams = static_cast<double>(released_upstreams_);
  if (const auto counts = targets.find(route); counts != targets.end()) {
    spread.target_upstreams = internal::EffectiveCount(counts->second);
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
  for (const evaluation& each : evaluations_) {
    if (now - each.evaluated_at < age) break;
    latest = &each.totals;
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
                                                             const run_time_counts& targets) const {
  for (auto& [route, compared] : Since(earlier)) {
    const route_evidence& released =
        ReleasedServe() ? compared.released : totals_.at(route).released;
    const finding found =
        JudgeRunTimes(compared.target.run_times, released.run_times, SpreadOf(route, targets),
                      ReleasedServe() ? judge_limits() : kLaterLimits);
    if (found != finding::kNone) return bad_route{route, found, {compared.target, released}};
  }
  return std::nullopt;
}

std::optional<bad_route> evidence_series::Judge(kernel::time_point now) {
  MeasureSpeeds();
  evaluations_.push_back({now, totals_, std::exchange(added_, {})});
  // One evaluation that is at least as old as the longest window is needed.
  while (evaluations_.size() > 1 && now - evaluations_[1].evaluated_at >= kLongWindow) {
    evaluations_.pop_front();
  }
  std::optional<bad_route> bad = JudgeAllFailures();
  if (!bad) bad = JudgeFailuresSince(step_start_);
  const comparisons* before = TotalsBefore(kShortWindow, now);
  if (!bad && before != nullptr) bad = JudgeFailuresSince(*before);
  before = TotalsBefore(kMinSlownessTime, now);
  // The oldest evaluation kept is at most one period older than the longest window.
  if (!bad && before != nullptr) {
    const evaluation& oldest = evaluations_.front();
    bad = JudgeRunTimesSince(oldest.totals, AddedAfter(oldest.evaluated_at));
  }
  // The whole first step has evidence from more upstreams of the target.
  if (!bad && before != nullptr && record_.share <= kCanaryShare) {
    bad = JudgeRunTimesSince(step_start_, AddedInStep());
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
