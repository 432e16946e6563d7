#include "cornelweir/src/codec/deflate.h"

#include <zlib.h>

#include <algorithm>
#include <cstddef>

#include "cornelweir/src/codec/codec_error.h"
#include "cornelweir/src/codec/limits.h"

namespace cornelweir::codec {
namespace {

constexpr std::size_t kFirstOutputBytes = std::size_t{16} << 10;

const Bytef* Input(std::string_view bytes) { return reinterpret_cast<const Bytef*>(bytes.data()); }
Bytef* Output(std::string& bytes) { return reinterpret_cast<Bytef*>(bytes.data()); }

}  // namespace

std::string Deflate(std::string_view bytes) {
  std::string compressed(compressBound(static_cast<uLong>(bytes.size())), '\0');
  auto size = static_cast<uLongf>(compressed.size());
  // Only a lack of memory or of room in the output fails, and there is room.
  compress2(Output(compressed), &size, Input(bytes), static_cast<uLong>(bytes.size()),
            Z_BEST_SPEED);
  compressed.resize(size);
  compressed.shrink_to_fit();
  return compressed;
}

boost::leaf::result<std::string> Inflate(std::string_view compressed) {
  std::size_t capacity = kFirstOutputBytes;
  while (true) {
    std::string bytes(capacity, '\0');
    auto size = static_cast<uLongf>(bytes.size());
    const int outcome =
        uncompress(Output(bytes), &size, Input(compressed), static_cast<uLong>(compressed.size()));
    if (outcome == Z_OK) {
      bytes.resize(size);
      return bytes;
    }
    if (outcome != Z_BUF_ERROR) {
      return boost::leaf::new_error(codec_error{codec_fault::kMalformed, "compressed bytes"});
    }
    // Either the output is too small or the input is cut; the limit ends both.
    if (capacity == kMaxMessageBytes) {
      return boost::leaf::new_error(codec_error{codec_fault::kTooLarge, "compressed bytes"});
    }
    capacity = std::min(capacity * 4, kMaxMessageBytes);
  }
}

}  // namespace cornelweir::codec
