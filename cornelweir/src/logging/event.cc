#include "cornelweir/src/logging/event.h"

#include <glog/logging.h>

#include <ostream>
#include <string_view>

#include "cornelweir/src/logging/output.h"

namespace cornelweir::logging {
namespace {

// Writes a line to the stream of a log message.
void WriteLine(std::ostream& out, event_id id, std::string_view message, std::string_view fields) {
  out << "event=" << static_cast<int>(id) << " message=\"" << message << '"' << fields;
}

}  // namespace

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
  const std::string_view fields = text_.view();
  switch (description.level) {
    case severity::kInfo:
      WriteLine(LOG(INFO), id_, description.message, fields);
      break;
    case severity::kWarning:
      WriteLine(LOG(WARNING), id_, description.message, fields);
      break;
    case severity::kError:
      WriteLine(LOG(ERROR), id_, description.message, fields);
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
