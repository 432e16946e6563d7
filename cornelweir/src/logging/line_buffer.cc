#include "cornelweir/src/logging/line_buffer.h"

#include <string>
#include <utility>

#include "cornelweir/src/logging/event_id.h"

namespace cornelweir::logging {

void line_buffer::Add(std::string_view line) {
  if (text_.size() - written_ + line.size() + 1 > capacity_) {
    ++left_out_;
    return;
  }
  if (const std::uint64_t count = std::exchange(left_out_, 0); count > 0) {
    constexpr event_id kId = event_id::kLinesLeftOut;
    text_ += "event=" + std::to_string(static_cast<int>(kId)) + " message=\"";
    text_ += Describe(kId).message;
    text_ += "\" count=" + std::to_string(count) + '\n';
  }
  text_.append(line);
  text_.push_back('\n');
}

void line_buffer::MarkWritten(std::size_t size) {
  written_ += size;
  if (written_ < text_.size()) return;
  text_.clear();
  written_ = 0;
}

}  // namespace cornelweir::logging
