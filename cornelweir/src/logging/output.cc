#include "cornelweir/src/logging/output.h"

#include <fcntl.h>
#include <glog/logging.h>
#include <unistd.h>

#include <cstddef>
#include <cstdio>
#include <memory>
#include <string>

#include "cornelweir/src/logging/line_buffer.h"

namespace cornelweir::logging {
namespace {

// Size of the buffered lines of a process: some seconds of one line a request at the usual rates.
constexpr std::size_t kBufferBytes = std::size_t{128} << 10;

// Takes the lines that glog formats, with the time and severity in front.
class output_sink : public google::LogSink {
 public:
  void send(google::LogSeverity severity, const char* /*full_filename*/,
            const char* /*base_filename*/, int /*line*/, const google::LogMessageTime& time,
            const char* message, std::size_t size) override {
    char prefix[64];
    std::snprintf(prefix, sizeof prefix, "time=%02d:%02d:%02d.%06d severity=%s ", time.hour(),
                  time.min(), time.sec(), static_cast<int>(time.usec()),
                  google::GetLogSeverityName(severity));
    line.assign(prefix).append(message, size);
    buffer.Add(line);
  }

  line_buffer buffer{kBufferBytes};
  // Kept between lines, so that its memory is used again.
  std::string line;
};

std::unique_ptr<output_sink>& Sink() {
  static std::unique_ptr<output_sink> sink;
  return sink;
}

}  // namespace

void StartOutput() {
  const int flags = ::fcntl(STDOUT_FILENO, F_GETFL, 0);
  if (flags >= 0) ::fcntl(STDOUT_FILENO, F_SETFL, flags | O_NONBLOCK);
  Sink() = std::make_unique<output_sink>();
  google::AddLogSink(Sink().get());
}

void FlushOutput() {
  if (!Sink()) return;
  line_buffer& buffer = Sink()->buffer;
  while (!buffer.pending().empty()) {
    const ssize_t size = ::write(STDOUT_FILENO, buffer.pending().data(), buffer.pending().size());
    if (size <= 0) return;
    buffer.MarkWritten(static_cast<std::size_t>(size));
  }
}

}  // namespace cornelweir::logging
