#ifndef CORNELWEIR_SRC_LOGGING_LINE_BUFFER_H_
#define CORNELWEIR_SRC_LOGGING_LINE_BUFFER_H_

#include <cstddef>
#include <cstdint>
#include <string>
#include <string_view>

namespace cornelweir::logging {

// Buffers log lines for a descriptor that may be slow. Lines that exceed the capacity are dropped
// and counted, so that logging never blocks the process.
class line_buffer {
 public:
  explicit line_buffer(std::size_t capacity) : capacity_(capacity) {}

  void Add(std::string_view line);
  // The text that has not been written yet. A line with the number of dropped lines precedes the
  // next line that is accepted.
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
