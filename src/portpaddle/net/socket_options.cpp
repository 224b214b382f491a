// SPDX-FileCopyrightText: 2026 portpaddle contributors
// SPDX-License-Identifier: Apache-2.0

#include "portpaddle/net/socket_options.h"

#include <netinet/in.h>
#include <netinet/tcp.h>
#include <sys/socket.h>

namespace Portpaddle {

namespace {

// A peer behind a network partition sends no reset. Round trips take less than 120 ms and lost packets are retransmitted within a
// second, so a peer that acknowledges nothing for three seconds is taken as unreachable.
constexpr int maxUnacknowledgedMs = 3000;
constexpr int keepAliveIdleSeconds = 1;
constexpr int keepAliveIntervalSeconds = 1;
// Linux ignores the number of probes where maxUnacknowledgedMs is set; with two, other systems give up after the same time.
constexpr int keepAliveProbes = 2;

void setOption(int descriptor, int level, int name, int value)
{
    // On a system without one of the options dead peers are only detected later, so errors are ignored.
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
    setOption(descriptor, IPPROTO_TCP, TCP_USER_TIMEOUT, maxUnacknowledgedMs);
}

} // namespace Portpaddle
