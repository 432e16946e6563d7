#ifndef CORNELWEIR_SRC_CODEC_CBOR_READER_H_
#define CORNELWEIR_SRC_CODEC_CBOR_READER_H_

#include <cstddef>
#include <cstdint>
#include <string_view>

namespace cornelweir::codec::internal {

// The major types of CBOR.
enum class cbor_type : std::uint8_t {
  kUnsigned = 0,
  kNegative = 1,
  kBytes = 2,
  kText = 3,
  kArray = 4,
  kMap = 5,
  kTag = 6,
  kSimple = 7,
};

inline constexpr std::uint64_t kCborFalse = 20;
inline constexpr std::uint64_t kCborTrue = 21;
inline constexpr std::uint64_t kCborNull = 22;

// The type of a value, and its number, length or count.
struct cbor_head {
  cbor_type type = cbor_type::kUnsigned;
  std::uint64_t value = 0;
};

// Reads the values of a CBOR document in order. Functions return false if the bytes are malformed;
// the reader can't be used any further then. Refuses indefinite lengths and tags, which WriteCbor()
// does not use.
class cbor_reader {
 public:
  explicit cbor_reader(std::string_view bytes) : bytes_(bytes) {}

  bool ReadHead(cbor_head& head);
  // Reads the content of a text or byte string after its head.
  bool ReadContent(std::uint64_t size, std::string_view& content);
  bool ReadText(std::string_view& text);
  // Consumes null. Returns false, and consumes nothing, if the next value is another.
  bool SkipNull();
  // Skips one value of at most kMaxNesting levels, and returns its bytes.
  bool SkipValue(std::string_view& skipped);

  std::string_view remaining() const { return bytes_; }

 private:
  bool Skip(std::size_t depth);

  std::string_view bytes_;
};

}  // namespace cornelweir::codec::internal

#endif  // CORNELWEIR_SRC_CODEC_CBOR_READER_H_
