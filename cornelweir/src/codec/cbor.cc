#include "cornelweir/src/codec/cbor.h"

#include <cstddef>
#include <cstdint>

namespace cornelweir::codec {
namespace internal {

constexpr std::size_t kFrameLengthBytes = 4;

// Walks a document without building it and stops at kMaxNesting levels.
class nesting_checker {
 public:
  bool too_deep() const { return too_deep_; }

  // The names and signatures below are those that the library's SAX interface asks for.
  // NOLINTBEGIN(google-runtime-int,readability-identifier-naming)
  bool null() { return true; }
  bool boolean(bool) { return true; }
  bool number_integer(json::number_integer_t) { return true; }
  bool number_unsigned(json::number_unsigned_t) { return true; }
  bool number_float(json::number_float_t, const json::string_t&) { return true; }
  bool string(json::string_t&) { return true; }
  bool binary(json::binary_t&) { return true; }
  bool start_object(std::size_t) { return Enter(); }
  bool key(json::string_t&) { return true; }
  bool end_object() { return Leave(); }
  bool start_array(std::size_t) { return Enter(); }
  bool end_array() { return Leave(); }
  bool parse_error(std::size_t, const std::string&, const json::exception&) { return false; }
  // NOLINTEND(google-runtime-int,readability-identifier-naming)

 private:
  bool Enter() {
    too_deep_ = ++depth_ > kMaxNesting;
    return !too_deep_;
  }
  bool Leave() {
    --depth_;
    return true;
  }

  std::size_t depth_ = 0;
  bool too_deep_ = false;
};

}  // namespace internal

std::string WriteCbor(const json& value) {
  std::string bytes;
  json::to_cbor(value, bytes);
  return bytes;
}

boost::leaf::result<json> ReadCbor(std::string_view bytes, std::size_t max_bytes) {
  if (bytes.size() > max_bytes) {
    return boost::leaf::new_error(codec_error{codec_fault::kTooLarge, "message"});
  }
  internal::nesting_checker checker;
  if (!json::sax_parse(bytes, &checker, json::input_format_t::cbor)) {
    const codec_fault fault = checker.too_deep() ? codec_fault::kTooDeep : codec_fault::kMalformed;
    return boost::leaf::new_error(codec_error{fault, "message"});
  }
  json document = json::from_cbor(bytes, /*strict=*/true, /*allow_exceptions=*/false);
  if (document.is_discarded()) {
    return boost::leaf::new_error(codec_error{codec_fault::kMalformed, "message"});
  }
  return document;
}

std::string Frame(std::string_view header, std::string_view payload) {
  std::string message;
  message.reserve(internal::kFrameLengthBytes + header.size() + payload.size());
  for (std::size_t i = 0; i < internal::kFrameLengthBytes; ++i) {
    message.push_back(static_cast<char>((header.size() >> (8 * i)) & 0xffU));
  }
  message.append(header);
  message.append(payload);
  return message;
}

boost::leaf::result<framed_message> Unframe(std::string_view message) {
  if (message.size() < internal::kFrameLengthBytes) {
    return boost::leaf::new_error(codec_error{codec_fault::kMalformed, "frame"});
  }
  std::size_t size = 0;
  for (std::size_t i = 0; i < internal::kFrameLengthBytes; ++i) {
    size |= static_cast<std::size_t>(static_cast<unsigned char>(message[i])) << (8 * i);
  }
  message.remove_prefix(internal::kFrameLengthBytes);
  if (size > message.size()) {
    return boost::leaf::new_error(codec_error{codec_fault::kMalformed, "frame"});
  }
  return framed_message{message.substr(0, size), message.substr(size)};
}

}  // namespace cornelweir::codec
