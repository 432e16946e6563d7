#ifndef CORNELWEIR_SRC_CODEC_SHA256_H_
#define CORNELWEIR_SRC_CODEC_SHA256_H_

#include <string>
#include <string_view>

namespace cornelweir::codec {

// The SHA-256 digest of the bytes in hexadecimal digits.
std::string Sha256Hex(std::string_view bytes);

}  // namespace cornelweir::codec

#endif  // CORNELWEIR_SRC_CODEC_SHA256_H_
