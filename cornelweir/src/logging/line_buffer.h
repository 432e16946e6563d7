#ifndef CORNELWEIR_SRC_LOGGING_LINE_BUFFER_H_
#define CORNELWEIR_SRC_LOGGING_LINE_BUFFER_H_

#include <cstddef>
#include <cstdint>
#include <string>
#include <string_view>

namespace cornelweir::logging {

// Log lines on their way to a descriptor that may be slow. Lines are taken as long as there is room
// and counted when there is not, so that logging never holds up the program that logs.
class line_buffer {
 public:
  explicit line_buffer(std::size_t capacity) : capacity_(capacity) {}

  void Add(std::string_view line);
  // What has not been written yet. A line that tells how many were left out comes before the next
  // one that is taken.
  std::string_view pending() const {
    std::string_view text = text_;
    text.remove_prefix(written_);
    return text;
  }
  void MarkWritten(std::size_t size);
  std::uint64_t left_out() const { return left_out_; }

 private:
  std::size_t capacity_;
  std::string text_;
  std::size_t written_ = 0;
  std::uint64_t left_out_ = 0;
};

}  // namespace cornelweir::logging

#endif  // CORNELWEIR_SRC_LOGGING_LINE_BUFFER_H_
