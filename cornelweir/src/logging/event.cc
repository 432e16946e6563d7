#include "cornelweir/src/logging/event.h"

#include <glog/logging.h>

#include "cornelweir/src/logging/output.h"

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
  line << "event=" << static_cast<int>(id_) << " message=\"" << description.message << '"'
       << text_.str();
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
  // The sink of StartOutput() takes every line; glog itself writes only what ends the process.
  FLAGS_stderrthreshold = google::GLOG_FATAL;
  FLAGS_log_dir = "";
  for (const google::LogSeverity severity :
       {google::GLOG_INFO, google::GLOG_WARNING, google::GLOG_ERROR, google::GLOG_FATAL}) {
    google::SetLogDestination(severity, "");
  }
  StartOutput();
  google::InitGoogleLogging(program);
}

}  // namespace cornelweir::logging
