#include "dispatch/upstream_connections.h"

#include "protocol/effect.h"

namespace kumquatcove {

void UpstreamConnections::KeepOrClose(Context& context,
                                      const UpstreamId& upstream,
                                      const UpstreamAnswered& event,
                                      double max_idle) {
  if (static_cast<double>(m_idle.Count(upstream)) + 1 <= max_idle) {
    m_idle.Add(upstream, event.connection, event.idle_limit, context.Now());
  } else {
    context.Emit(CloseConnection{event.connection});
  }
}

void UpstreamConnections::CloseIdle(Context& context,
                                    const UpstreamId& upstream) {
  for (const ConnectionId connection : m_idle.TakeAll(upstream)) {
    context.Emit(CloseConnection{connection});
  }
}

void UpstreamConnections::CloseExpired(Context& context) {
  for (const ConnectionId connection : m_idle.TakeExpired(context.Now())) {
    context.Emit(CloseConnection{connection});
  }
}

}  // namespace kumquatcove
