#ifndef CORNELWEIR_TESTS_LOGGED_LINES_H_
#define CORNELWEIR_TESTS_LOGGED_LINES_H_

#include <glog/logging.h>

#include <cstddef>
#include <string>
#include <vector>

namespace cornelweir::logging {

// The lines that this process logs while the object exists.
class logged_lines : private google::LogSink {
 public:
  logged_lines() { google::AddLogSink(this); }
  ~logged_lines() override { google::RemoveLogSink(this); }
  logged_lines(const logged_lines&) = delete;
  logged_lines& operator=(const logged_lines&) = delete;

  std::vector<std::string> WithEvent(int number) const {
    std::vector<std::string> found;
    const std::string start = "event=" + std::to_string(number) + " ";
    for (const std::string& line : lines_) {
      if (line.starts_with(start)) found.push_back(line);
    }
    return found;
  }

 private:
  void send(google::LogSeverity /*severity*/, const char* /*full_filename*/,
            const char* /*base_filename*/, int /*line*/, const google::LogMessageTime& /*time*/,
            const char* message, std::size_t size) override {
    lines_.emplace_back(message, size);
  }

  std::vector<std::string> lines_;
};

}  // namespace cornelweir::logging

#endif  // CORNELWEIR_TESTS_LOGGED_LINES_H_
