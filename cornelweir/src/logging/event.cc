#include "cornelweir/src/logging/event.h"

#include <glog/logging.h>

namespace cornelweir::logging {

event_description Describe(event_id id) {
  switch (id) {
#define CORNELWEIR_EVENT_DESCRIPTION(name, number, level, message) \
  case event_id::name:                                             \
    return {severity::level, message};
    CORNELWEIR_LOG_EVENTS(CORNELWEIR_EVENT_DESCRIPTION)
#undef CORNELWEIR_EVENT_DESCRIPTION
  }
  return {severity::kError, "unknown event"};
}

event::event(event_id id) : id_(id) {}

event::~event() {
  const event_description description = Describe(id_);
  std::ostringstream line;
  line << 'E' << static_cast<int>(id_) << ' ' << description.message << text_.str();
  switch (description.level) {
    case severity::kInfo:
      LOG(INFO) << line.str();
      break;
    case severity::kWarning:
      LOG(WARNING) << line.str();
      break;
    case severity::kError:
      LOG(ERROR) << line.str();
      break;
  }
}

void StartLogging(const char* program) {
  FLAGS_logtostderr = true;
  google::InitGoogleLogging(program);
}

}  // namespace cornelweir::logging
