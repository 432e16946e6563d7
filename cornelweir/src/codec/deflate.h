#ifndef CORNELWEIR_SRC_CODEC_DEFLATE_H_
#define CORNELWEIR_SRC_CODEC_DEFLATE_H_

#include <boost/leaf.hpp>
#include <cstddef>
#include <string>
#include <string_view>

#include "cornelweir/src/codec/limits.h"

namespace cornelweir::codec {

// Compresses bytes in zlib's format.
std::string Deflate(std::string_view bytes);

// Restores compressed bytes, of which at most max_bytes are accepted. Errors carry a codec_error.
boost::leaf::result<std::string> Inflate(std::string_view compressed,
                                         std::size_t max_bytes = kMaxMessageBytes);

}  // namespace cornelweir::codec

#endif  // CORNELWEIR_SRC_CODEC_DEFLATE_H_
