#ifndef CORNELWEIR_PROGRAMS_CORNELWEIR_LOAD_GENERATOR_H_
#define CORNELWEIR_PROGRAMS_CORNELWEIR_LOAD_GENERATOR_H_

#include <cstddef>
#include <cstdint>
#include <memory>
#include <string>

#include "cornelweir/http.h"
#include "cornelweir/kernel.h"
#include "cornelweir/loop.h"
#include "programs/cornelweir_load/load_report.h"
#include "programs/cornelweir_load/options.h"
#include "programs/cornelweir_load/pending_request.h"

namespace cornelweir::load {

// Sends the requests of a run, and stops the loop when all are answered.
class generator {
 public:
  generator(loop::event_loop& loop, options settings);

  void Start();

  const load_report& report() const { return report_; }
  kernel::microseconds duration() const { return ended_at_ - started_at_; }

 private:
  bool Chance(double share);
  const std::string& ChoosePath();
  kernel::time_point DueTime(std::uint64_t index) const;
  void SendDue();
  void SendAgainAt(kernel::time_point when);
  void Begin(kernel::time_point due);
  void Send(const std::shared_ptr<pending_request>& request);
  void OnAnswer(const std::shared_ptr<pending_request>& request,
                const http::http_result<http::client_response>& answer);
  void End(const pending_request& request);
  void StopWhenIdle();

  loop::event_loop& loop_;
  options settings_;
  kernel::steady_clock_source clock_;
  kernel::seeded_random random_;
  http::client client_;
  loop::timer timer_;
  load_report report_;
  std::uint64_t total_weight_ = 0;
  kernel::time_point started_at_;
  kernel::time_point ended_at_;
  bool ended_ = false;
  std::uint64_t due_ = 0;
  std::uint64_t numbers_ = 0;
  std::size_t in_flight_ = 0;
};

}  // namespace cornelweir::load

#endif  // CORNELWEIR_PROGRAMS_CORNELWEIR_LOAD_GENERATOR_H_
