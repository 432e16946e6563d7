#ifndef CORNELWEIR_PROGRAMS_CORNELWEIR_LOAD_LOAD_REPORT_H_
#define CORNELWEIR_PROGRAMS_CORNELWEIR_LOAD_LOAD_REPORT_H_

#include <cstdint>
#include <map>
#include <nlohmann/json.hpp>
#include <string>
#include <string_view>

#include "cornelweir/http.h"
#include "cornelweir/kernel.h"
#include "programs/cornelweir_load/latency_histogram.h"
#include "programs/cornelweir_load/options.h"
#include "programs/cornelweir_load/pending_request.h"

namespace cornelweir::load {

// Checks the answers of a run and counts them.
class load_report {
 public:
  void OnSent() { ++sent_; }
  void OnResent() { ++resent_; }
  // Counts a request that was due while too many were in progress.
  void OnSkipped() { ++skipped_; }
  // These update the state of the request.
  void OnAnswer(pending_request& request, const http::client_response& response,
                kernel::microseconds latency);
  void OnLost(pending_request& request, const http::http_error& error);
  void OnEnd(const pending_request& request);

  nlohmann::json ToJson(const options& settings, kernel::microseconds duration) const;
  bool all_answers_sound() const { return mixed_ == 0 && cut_ == 0; }
  // Writes a line "key state" for each request that must not run twice.
  bool WriteKeys(const options& settings) const;

 private:
  void CheckEcho(const pending_request& request, std::string_view id, const std::string& body);

  std::uint64_t sent_ = 0;
  std::uint64_t answered_ = 0;
  std::uint64_t lost_ = 0;
  std::uint64_t resent_ = 0;
  std::uint64_t skipped_ = 0;
  std::uint64_t mixed_ = 0;
  std::uint64_t cut_ = 0;
  std::map<std::string, std::uint64_t> statuses_;
  std::map<std::string, std::uint64_t> outcomes_;
  std::map<std::string, std::uint64_t> errors_;
  std::map<std::uint64_t, run_state> keys_;
  latency_histogram latencies_;
};

}  // namespace cornelweir::load

#endif  // CORNELWEIR_PROGRAMS_CORNELWEIR_LOAD_LOAD_REPORT_H_
