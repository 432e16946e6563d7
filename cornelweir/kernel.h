#ifndef CORNELWEIR_KERNEL_H_
#define CORNELWEIR_KERNEL_H_

// Ids and units, injectable clocks and random sources, field lists, and the plug-in registry.

#include "cornelweir/src/kernel/byte_string.h"
#include "cornelweir/src/kernel/clock.h"
#include "cornelweir/src/kernel/field.h"
#include "cornelweir/src/kernel/ids.h"
#include "cornelweir/src/kernel/log_time.h"
#include "cornelweir/src/kernel/nearest_name.h"
#include "cornelweir/src/kernel/plugin.h"
#include "cornelweir/src/kernel/plugin_registry.h"
#include "cornelweir/src/kernel/quantity.h"
#include "cornelweir/src/kernel/random_source.h"
#include "cornelweir/src/kernel/strong_id.h"

#endif  // CORNELWEIR_KERNEL_H_
