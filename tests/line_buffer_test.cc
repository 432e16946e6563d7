// Log lines to an output that may be slow.

#include <gtest/gtest.h>

#include <string>

#include "cornelweir/logging.h"

namespace cornelweir::logging {
namespace {

// Guards against logs that grow without bound while nobody reads them, and against gaps that nobody
// is told of.
TEST(LineBuffer, CountsTheLinesForWhichThereIsNoRoom) {
  line_buffer buffer(200);
  for (int i = 0; i < 50; ++i) buffer.Add("a line of log");
  EXPECT_LE(buffer.pending().size(), 200U);
  EXPECT_GT(buffer.left_out(), 30U);
  buffer.MarkWritten(buffer.pending().size());
  EXPECT_TRUE(buffer.pending().empty());
  buffer.Add("next");
  EXPECT_NE(buffer.pending().find("count="), std::string_view::npos);
  EXPECT_TRUE(buffer.pending().ends_with("next\n"));
}

// Guards against bytes that are written twice or lost when the output takes a part of them.
TEST(LineBuffer, GoesOnWhereTheOutputStopped) {
  line_buffer buffer(1'000);
  buffer.Add("one");
  buffer.MarkWritten(2);
  buffer.Add("two");
  EXPECT_EQ(buffer.pending(), "e\ntwo\n");
}

}  // namespace
}  // namespace cornelweir::logging
