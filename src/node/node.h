#ifndef NODE_NODE_H_
#define NODE_NODE_H_

/**
 * Module `node`: the reducer of one entry instance, which combines the other
 * modules of the decision library.
 */
#include "node/node_reducer.h"

#endif  // NODE_NODE_H_
