#ifndef CORNELWEIR_SRC_CODEC_CODEC_ERROR_H_
#define CORNELWEIR_SRC_CODEC_CODEC_ERROR_H_

#include <cstdint>
#include <string>

namespace cornelweir::codec {

enum class codec_fault : std::uint8_t { kTooLarge, kTooDeep, kMalformed, kWrongType, kUnknownType };

// Why bytes could not be decoded, and at which member.
struct codec_error {
  codec_fault fault = codec_fault::kMalformed;
  std::string place;
};

}  // namespace cornelweir::codec

#endif  // CORNELWEIR_SRC_CODEC_CODEC_ERROR_H_
