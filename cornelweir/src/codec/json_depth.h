#ifndef CORNELWEIR_SRC_CODEC_JSON_DEPTH_H_
#define CORNELWEIR_SRC_CODEC_JSON_DEPTH_H_

#include <string_view>

namespace cornelweir::codec {

// Whether lists and objects of a JSON text nest deeper than kMaxNesting. To be checked before an
// untrusted text is parsed: each level takes about 80 bytes, so that 16 MiB of opening brackets
// take 1.2 GB. If the text is malformed, the result holds for the part before the first error.
bool IsNestedTooDeeply(std::string_view text);

}  // namespace cornelweir::codec

#endif  // CORNELWEIR_SRC_CODEC_JSON_DEPTH_H_
