#include "cornelweir/src/admission/transfer_plan.h"

#include <algorithm>
#include <chrono>
#include <numeric>
#include <set>
#include <tuple>
#include <utility>

namespace cornelweir::admission {
namespace internal {
namespace {

// Plans the bodies of one priority after another.
class transfer_planner {
 public:
  transfer_planner(const std::vector<transfer_job>& jobs, double bytes_per_second,
                   kernel::time_point now)
      : jobs_(jobs), bytes_per_second_(bytes_per_second), now_(now) {}

  std::vector<planned_transfer> Plan() {
    std::vector<std::size_t> order(jobs_.size());
    std::iota(order.begin(), order.end(), std::size_t{0});
    std::sort(order.begin(), order.end(), [&](std::size_t a, std::size_t b) {
      return ServiceKey(jobs_[a]) < ServiceKey(jobs_[b]);
    });
    plan_.reserve(jobs_.size());
    for (auto group = order.begin(); group != order.end();) {
      const auto end = std::find_if(group, order.end(), [&](std::size_t next) {
        return jobs_[next].priority != jobs_[*group].priority;
      });
      AddGroup(group, end);
      group = end;
    }
    return std::move(plan_);
  }

 private:
  using job_iterator = std::vector<std::size_t>::iterator;

  static std::tuple<std::int32_t, kernel::time_point, std::uint64_t> ServiceKey(
      const transfer_job& job) {
    return {job.priority, job.objective, job.arrival};
  }

  kernel::time_point CompleteAt(std::size_t bytes) const {
    if (bytes_per_second_ <= 0) return now_;
    return now_ + std::chrono::duration_cast<kernel::microseconds>(std::chrono::duration<double>(
                      static_cast<double>(bytes) / bytes_per_second_));
  }

  // Returns the bodies of a group that are late if the largest number is in time.
  std::set<std::size_t> LateOnes(job_iterator group, job_iterator end) const {
    std::set<std::pair<std::size_t, std::size_t>> on_time;
    std::set<std::size_t> late;
    std::size_t bytes = bytes_ahead_;
    for (auto next = group; next != end; ++next) {
      const transfer_job& job = jobs_[*next];
      if (CompleteAt(bytes_ahead_ + job.missing_bytes) > job.due) {
        late.insert(*next);
        continue;
      }
      bytes += job.missing_bytes;
      on_time.emplace(job.missing_bytes, *next);
      if (CompleteAt(bytes) <= job.due) continue;
      const auto largest = std::prev(on_time.end());
      bytes -= largest->first;
      late.insert(largest->second);
      on_time.erase(largest);
    }
    return late;
  }

  void AddGroup(job_iterator group, job_iterator end) {
    const std::set<std::size_t> late = LateOnes(group, end);
    const auto first_late =
        std::stable_partition(group, end, [&](std::size_t next) { return !late.contains(next); });
    std::sort(first_late, end, [&](std::size_t a, std::size_t b) {
      return std::tuple(jobs_[a].deadline, jobs_[a].arrival) <
             std::tuple(jobs_[b].deadline, jobs_[b].arrival);
    });
    for (auto next = group; next != end; ++next) {
      bytes_ahead_ += jobs_[*next].missing_bytes;
      plan_.push_back({*next, CompleteAt(bytes_ahead_), next >= first_late});
    }
  }

  const std::vector<transfer_job>& jobs_;
  double bytes_per_second_;
  kernel::time_point now_;
  std::size_t bytes_ahead_ = 0;
  std::vector<planned_transfer> plan_;
};

}  // namespace
}  // namespace internal

std::vector<planned_transfer> PlanTransfers(const std::vector<transfer_job>& jobs,
                                            double bytes_per_second, kernel::time_point now) {
  return internal::transfer_planner(jobs, bytes_per_second, now).Plan();
}

}  // namespace cornelweir::admission
