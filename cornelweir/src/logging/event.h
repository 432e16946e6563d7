#ifndef CORNELWEIR_SRC_LOGGING_EVENT_H_
#define CORNELWEIR_SRC_LOGGING_EVENT_H_

#include <sstream>
#include <string>
#include <string_view>

#include "cornelweir/src/logging/event_id.h"

namespace cornelweir::logging {

// One log line: the event's number, name and fields. It is written when the object goes away.
//
//   event(event_id::kVersionApplied).With("version", version);
class event {
 public:
  explicit event(event_id id);
  event(const event&) = delete;
  event& operator=(const event&) = delete;
  ~event();

  template <class T>
  event& With(std::string_view name, const T& value) {
    if constexpr (requires { value.value(); }) {
      text_ << ' ' << name << '=' << value.value();
    } else {
      text_ << ' ' << name << '=' << value;
    }
    return *this;
  }

 private:
  event_id id_;
  std::ostringstream text_;
};

// Sends log lines to standard error, for the program with this name.
void StartLogging(const char* program);

}  // namespace cornelweir::logging

#endif  // CORNELWEIR_SRC_LOGGING_EVENT_H_
