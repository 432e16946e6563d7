#ifndef CORNELWEIR_CODEC_H_
#define CORNELWEIR_CODEC_H_

// Typed messages to and from CBOR and JSON.

#include "cornelweir/src/codec/cbor.h"
#include "cornelweir/src/codec/codec_error.h"
#include "cornelweir/src/codec/deflate.h"
#include "cornelweir/src/codec/json_value.h"
#include "cornelweir/src/codec/limits.h"

#endif  // CORNELWEIR_CODEC_H_
