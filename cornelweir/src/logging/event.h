#ifndef CORNELWEIR_SRC_LOGGING_EVENT_H_
#define CORNELWEIR_SRC_LOGGING_EVENT_H_

#include <sstream>
#include <string>
#include <string_view>
#include <type_traits>

#include "cornelweir/src/logging/event_id.h"

namespace cornelweir::logging {

// One log line: the event's number, name and fields. It is written by the destructor.
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
    text_ << ' ' << name << '=';
    if constexpr (requires { value.value(); }) {
      Write(value.value());
    } else {
      Write(value);
    }
    return *this;
  }

 private:
  // Texts with spaces are quoted, so that a line can be split into its fields.
  template <class T>
  void Write(const T& value) {
    if constexpr (std::is_convertible_v<T, std::string_view>) {
      const std::string_view text = value;
      const char* const quote =
          text.empty() || text.find_first_of(" \"") != std::string_view::npos ? "\"" : "";
      text_ << quote << text << quote;
    } else {
      text_ << value;
    }
  }

  event_id id_;
  std::ostringstream text_;
};

// Sends log lines to standard output, for the program with this name.
void StartLogging(const char* program);

}  // namespace cornelweir::logging

#endif  // CORNELWEIR_SRC_LOGGING_EVENT_H_
