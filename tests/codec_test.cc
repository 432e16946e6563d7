#include "cornelweir/codec.h"

#include <gtest/gtest.h>

#include "cornelweir/table.h"

namespace cornelweir::codec {
namespace {

TEST(Cbor, RoundTripsARowChange) {
  const table::row_change change{
      table::KeyOf(kernel::service_name("forms")),
      table::service_row{
          kernel::limit_name("l"), kernel::wait_name("w"), {kernel::service_name("intake")}}};
  const auto decoded = Decode<table::row_change>(Encode(change));
  ASSERT_TRUE(decoded);
  EXPECT_EQ(decoded.value(), change);
}

// Guards against stack exhaustion by deeply nested input.
TEST(Cbor, RefusesDeepNesting) {
  const std::string nested(100'000, '\x81');
  const auto fault = boost::leaf::try_handle_all(
      [&]() -> boost::leaf::result<codec_fault> {
        BOOST_LEAF_CHECK(ReadCbor(nested));
        return codec_fault::kMalformed;
      },
      [](const codec_error& error) { return error.fault; }, [] { return codec_fault::kMalformed; });
  EXPECT_EQ(fault, codec_fault::kTooDeep);
}

// Guards against a policy that arrives changed, and against compressed bytes that fill the memory.
TEST(Deflate, RestoresWhatFitsAndRefusesTheRest) {
  std::string routes;
  for (int i = 0; i < 2'000; ++i) routes += "route-" + std::to_string(i) + " /prefix/;";
  const std::string compressed = Deflate(routes);
  EXPECT_LT(compressed.size(), routes.size() / 3);
  const auto restored = Inflate(compressed);
  ASSERT_TRUE(restored);
  EXPECT_EQ(restored.value(), routes);
  EXPECT_EQ(Inflate(Deflate("")).value(), "");
  EXPECT_FALSE(Inflate("not compressed"));
  EXPECT_FALSE(Inflate(std::string_view(compressed).substr(0, compressed.size() / 2)));
  EXPECT_FALSE(Inflate(Deflate(std::string(kMaxMessageBytes + 1, 'x'))));
  EXPECT_EQ(Inflate(Deflate(std::string(kMaxMessageBytes, 'x'))).value().size(), kMaxMessageBytes);
  EXPECT_TRUE(Inflate(Deflate(std::string(kMaxMessageBytes + 1, 'x')), kMaxStateBytes));
}

// Guards against a number that does not fit its member being truncated.
TEST(Cbor, RefusesANumberOutOfRange) {
  std::uint8_t small = 0;
  EXPECT_FALSE(FromJson(json(300), small, "small"));
  EXPECT_FALSE(FromJson(json(-1), small, "small"));
  EXPECT_TRUE(FromJson(json(255), small, "small"));
}

}  // namespace
}  // namespace cornelweir::codec
