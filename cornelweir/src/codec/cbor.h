#ifndef CORNELWEIR_SRC_CODEC_CBOR_H_
#define CORNELWEIR_SRC_CODEC_CBOR_H_

#include <boost/leaf.hpp>
#include <cstddef>
#include <string>
#include <string_view>

#include "cornelweir/src/codec/json_value.h"
#include "cornelweir/src/codec/limits.h"

namespace cornelweir::codec {

// Writes the JSON data model as CBOR.
std::string WriteCbor(const json& value);

// Reads CBOR of at most max_bytes and kMaxNesting levels.
boost::leaf::result<json> ReadCbor(std::string_view bytes,
                                   std::size_t max_bytes = kMaxMessageBytes);

// Encodes a value that has json_traits.
template <class T>
std::string Encode(const T& value) {
  return WriteCbor(ToJson(value));
}

// Decodes a value that has json_traits. Errors carry a codec_error.
template <class T>
boost::leaf::result<T> Decode(std::string_view bytes, std::size_t max_bytes = kMaxMessageBytes) {
  BOOST_LEAF_AUTO(document, ReadCbor(bytes, max_bytes));
  T value{};
  BOOST_LEAF_CHECK(FromJson(document, value, "message"));
  return value;
}

// A message whose payload stays outside its encoding, so that large payloads are not copied through
// the data model.
struct framed_message {
  std::string_view header;
  std::string_view payload;
};

// Puts an encoded header and a payload into one message.
std::string Frame(std::string_view header, std::string_view payload);
// Splits such a message. The parts refer to it. Errors carry a codec_error.
boost::leaf::result<framed_message> Unframe(std::string_view message);

}  // namespace cornelweir::codec

#endif  // CORNELWEIR_SRC_CODEC_CBOR_H_
