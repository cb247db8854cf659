#ifndef RUNTIME_RUNTIME_H_
#define RUNTIME_RUNTIME_H_

/**
 * Module `runtime`: the daemon that runs the reducer.
 *
 * A CAF actor owns the reducer. Adapters convert input to events and execute
 * effects: HTTP for callers, operators, upstreams and the platform on one Asio
 * thread, messages between entry instances on one KJ thread. The module also
 * contains settings, logging and metrics. All routing decisions are made by the
 * reducer.
 */
#include "runtime/daemon.h"
#include "runtime/settings.h"

#endif  // RUNTIME_RUNTIME_H_
