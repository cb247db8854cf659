#ifndef BASE_BASE_H_
#define BASE_BASE_H_

/**
 * Module `base`: value types that every other module uses.
 *
 * Typed names, time, enumeration tables, the seeded random number generator,
 * hashing and the conversion of described structs to and from JSON. Nothing
 * here does I/O or reads a clock.
 */
#include "base/clock_reading.h"
#include "base/enum_table.h"
#include "base/hash.h"
#include "base/hybrid_clock.h"
#include "base/json_codec.h"
#include "base/name.h"
#include "base/random.h"

#endif  // BASE_BASE_H_
