#ifndef PROGRAMS_CORNELWEIRCTL_UTC_TIME_H_
#define PROGRAMS_CORNELWEIRCTL_UTC_TIME_H_

#include <cstdint>
#include <string>

namespace cornelweir::ctl {

// Milliseconds since 1970 as "2026-12-04 08:13:02".
std::string UtcTime(std::int64_t since_epoch_ms);

}  // namespace cornelweir::ctl

#endif  // PROGRAMS_CORNELWEIRCTL_UTC_TIME_H_
