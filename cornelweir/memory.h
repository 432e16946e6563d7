#ifndef CORNELWEIR_MEMORY_H_
#define CORNELWEIR_MEMORY_H_

// The account of the bytes that a process holds for its callers, upstreams, other daemons and
// operators.

#include "cornelweir/src/memory/limits.h"
#include "cornelweir/src/memory/memory_account.h"
#include "cornelweir/src/memory/memory_hold.h"
#include "cornelweir/src/memory/memory_use.h"

#endif  // CORNELWEIR_MEMORY_H_
