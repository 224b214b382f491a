// SPDX-FileCopyrightText: 2026 portpaddle contributors
// SPDX-License-Identifier: Apache-2.0

#include "portpaddle/net/socket_options.h"

#include <netinet/in.h>
#include <netinet/tcp.h>
#include <sys/socket.h>

namespace Portpaddle {

namespace {

// A peer behind a cut sends no reset. Round trips are under 120 ms, lost packets are sent again within a second: three seconds
// without an acknowledgement mean that nobody is there.
constexpr int unacknowledgedMs = 3000;
constexpr int keepAliveIdleSeconds = 1;
constexpr int keepAliveIntervalSeconds = 1;
constexpr int keepAliveProbes = 3;

void setOption(int descriptor, int level, int name, int value)
{
    // A system that lacks one of the options notices dead peers later; nothing else changes.
    (void)setsockopt(descriptor, level, name, &value, sizeof value);
}

} // namespace

void applySocketOptions(int descriptor)
{
    setOption(descriptor, IPPROTO_TCP, TCP_NODELAY, 1);
    setOption(descriptor, SOL_SOCKET, SO_KEEPALIVE, 1);
    setOption(descriptor, IPPROTO_TCP, TCP_KEEPIDLE, keepAliveIdleSeconds);
    setOption(descriptor, IPPROTO_TCP, TCP_KEEPINTVL, keepAliveIntervalSeconds);
    setOption(descriptor, IPPROTO_TCP, TCP_KEEPCNT, keepAliveProbes);
    setOption(descriptor, IPPROTO_TCP, TCP_USER_TIMEOUT, unacknowledgedMs);
}

} // namespace Portpaddle
