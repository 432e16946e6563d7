#ifndef CORNELWEIR_PROGRAMS_CORNELWEIR_LOAD_PENDING_REQUEST_H_
#define CORNELWEIR_PROGRAMS_CORNELWEIR_LOAD_PENDING_REQUEST_H_

#include <cstddef>
#include <cstdint>
#include <string>

#include "cornelweir/kernel.h"

namespace cornelweir::load {

// Whether a request ran, as far as its answers show.
enum class run_state : std::uint8_t { kNotRun, kRan, kUnknown };

// A request from the moment it is due until its last attempt is answered.
struct pending_request {
  std::uint64_t number = 0;
  // The idempotency key, with which the request ids of the attempts begin.
  std::string key;
  std::string path;
  std::string workspace;
  bool post = false;
  std::size_t target = 0;
  int attempt = 0;
  kernel::time_point due;
  run_state state = run_state::kNotRun;
};

inline std::string KeyOf(const std::string& prefix, std::uint64_t number) {
  return prefix + "-" + std::to_string(number);
}

inline std::string IdOf(const pending_request& request, int attempt) {
  return request.key + "." + std::to_string(attempt);
}

}  // namespace cornelweir::load

#endif  // CORNELWEIR_PROGRAMS_CORNELWEIR_LOAD_PENDING_REQUEST_H_
