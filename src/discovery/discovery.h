#ifndef DISCOVERY_DISCOVERY_H_
#define DISCOVERY_DISCOVERY_H_

/**
 * Module `discovery`: answers callers which entry instances to use.
 */
#include "discovery/entry_selector.h"

#endif  // DISCOVERY_DISCOVERY_H_
