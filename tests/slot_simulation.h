#ifndef CORNELWEIR_TESTS_SLOT_SIMULATION_H_
#define CORNELWEIR_TESTS_SLOT_SIMULATION_H_

#include <chrono>
#include <cstdint>
#include <map>
#include <string>
#include <vector>

#include "cornelweir/admission.h"
#include "cornelweir/kernel.h"

namespace cornelweir::admission {

using std::chrono::milliseconds;

struct flow {
  std::string route;
  std::string workspace;
  double per_second = 0;
  milliseconds run_time{};
  milliseconds objective{};
  milliseconds timeout{};
  std::int32_t priority = 0;
  bool nested = false;
  milliseconds burst_start{};
  milliseconds burst_end{};
  double burst_factor = 1;
};

struct flow_outcome {
  int sent = 0;
  int within_objective = 0;
  int ended_in_time = 0;
  int timed_out = 0;
};

// Runs flows of random arrivals and run times on an upstream, and counts how they end.
class slot_simulation {
 public:
  explicit slot_simulation(std::int64_t slots) { queue_.SetSlots(slots, clock_.Now()); }

  std::vector<flow_outcome> Run(const std::vector<flow>& flows, milliseconds duration) {
    outcomes_.assign(flows.size(), {});
    flows_ = flows;
    for (; clock_.Now() < kernel::time_point(duration); clock_.Advance(kStep)) {
      EndRuns();
      for (std::size_t i = 0; i < flows.size(); ++i) Arrive(i);
      queue_.Expire(clock_.Now());
    }
    return outcomes_;
  }

 private:
  static constexpr kernel::microseconds kStep = milliseconds(1);

  struct request {
    std::size_t flow = 0;
    kernel::time_point arrived_at;
    kernel::time_point started_at;
  };

  double Uniform() { return static_cast<double>(random_.NextU64() >> 11U) * 0x1p-53; }

  void Arrive(std::size_t index) {
    const flow& source = flows_[index];
    const kernel::time_point now = clock_.Now();
    const bool burst =
        now >= kernel::time_point(source.burst_start) && now < kernel::time_point(source.burst_end);
    const double rate = source.per_second * (burst ? source.burst_factor : 1);
    if (Uniform() >= rate * std::chrono::duration<double>(kStep).count()) return;
    ++outcomes_[index].sent;
    slot_request added;
    added.id = ticket(++last_id_);
    added.nested = source.nested;
    added.priority = source.priority;
    added.objective = now + source.objective;
    added.deadline = now + source.timeout;
    added.run_time = estimates_[index].mean();
    added.safe_run_time = estimates_[index].Safe(source.timeout, now);
    added.route = kernel::route_name(source.route);
    added.workspace = kernel::workspace_id(source.workspace);
    requests_[added.id] = {index, now, now};
    if (queue_.Submit(added, now).outcome == slot_decision::kind::kRun) Start(added.id);
  }

  void Start(ticket id) {
    request& started = requests_.at(id);
    started.started_at = clock_.Now();
    const double mean = std::chrono::duration<double>(flows_[started.flow].run_time).count();
    const auto run_time = std::chrono::duration_cast<kernel::microseconds>(
        std::chrono::duration<double>(mean * (0.5 + Uniform())));
    ends_.emplace(clock_.Now() + run_time, id);
  }

  void EndRuns() {
    while (!ends_.empty() && ends_.begin()->first <= clock_.Now()) {
      const ticket id = ends_.begin()->second;
      ends_.erase(ends_.begin());
      const request ended = requests_.at(id);
      const kernel::microseconds run_time = clock_.Now() - ended.started_at;
      estimates_[ended.flow].OnCompleted(run_time, clock_.Now());
      const kernel::microseconds took = clock_.Now() - ended.arrived_at;
      flow_outcome& outcome = outcomes_[ended.flow];
      outcome.within_objective += took <= flows_[ended.flow].objective ? 1 : 0;
      ++(took <= flows_[ended.flow].timeout ? outcome.ended_in_time : outcome.timed_out);
      for (const ticket next : queue_.Release(id, run_time, clock_.Now())) Start(next);
    }
  }

  kernel::manual_clock clock_;
  kernel::seeded_random random_{11};
  slot_queue queue_;
  std::vector<flow> flows_;
  std::vector<flow_outcome> outcomes_;
  std::map<std::size_t, run_time_estimate> estimates_;
  std::map<ticket, request> requests_;
  std::multimap<kernel::time_point, ticket> ends_;
  std::uint64_t last_id_ = 0;
};

inline double Share(int part, int whole) { return static_cast<double>(part) / whole; }

}  // namespace cornelweir::admission

#endif  // CORNELWEIR_TESTS_SLOT_SIMULATION_H_
