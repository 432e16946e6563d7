#include "cornelweir/src/codec/deflate.h"

#include <zlib.h>

#include <algorithm>
#include <cstddef>
#include <memory>

#include "cornelweir/src/codec/codec_error.h"

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

boost::leaf::result<std::string> Inflate(std::string_view compressed, std::size_t max_bytes) {
  z_stream stream{};
  if (inflateInit(&stream) != Z_OK) {
    return boost::leaf::new_error(codec_error{codec_fault::kTooLarge, "compressed bytes"});
  }
  const std::unique_ptr<z_stream, decltype(&inflateEnd)> end(&stream, &inflateEnd);
  stream.next_in = const_cast<Bytef*>(Input(compressed));
  stream.avail_in = static_cast<uInt>(compressed.size());
  std::string bytes;
  int outcome = Z_OK;
  // One byte beyond the bound shows that there is more.
  while (outcome == Z_OK && bytes.size() <= max_bytes) {
    const std::size_t restored = bytes.size();
    bytes.resize(std::min(std::max(kFirstOutputBytes, restored * 2), max_bytes + 1));
    stream.next_out = Output(bytes) + restored;
    stream.avail_out = static_cast<uInt>(bytes.size() - restored);
    outcome = inflate(&stream, Z_NO_FLUSH);
    bytes.resize(bytes.size() - stream.avail_out);
  }
  if (bytes.size() > max_bytes) {
    return boost::leaf::new_error(codec_error{codec_fault::kTooLarge, "compressed bytes"});
  }
  if (outcome != Z_STREAM_END || stream.avail_in > 0) {
    return boost::leaf::new_error(codec_error{codec_fault::kMalformed, "compressed bytes"});
  }
  return bytes;
}

}  // namespace cornelweir::codec
