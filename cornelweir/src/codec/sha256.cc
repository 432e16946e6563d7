#include "cornelweir/src/codec/sha256.h"

#include <openssl/evp.h>

#include <array>
#include <boost/algorithm/hex.hpp>
#include <iterator>

namespace cornelweir::codec {

std::string Sha256Hex(std::string_view bytes) {
  std::array<unsigned char, EVP_MAX_MD_SIZE> digest{};
  unsigned size = 0;
  EVP_Digest(bytes.data(), bytes.size(), digest.data(), &size, EVP_sha256(), nullptr);
  std::string text;
  boost::algorithm::hex_lower(digest.begin(), digest.begin() + size, std::back_inserter(text));
  return text;
}

}  // namespace cornelweir::codec
