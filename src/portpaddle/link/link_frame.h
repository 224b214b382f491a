// SPDX-FileCopyrightText: 2026 portpaddle contributors
// SPDX-License-Identifier: Apache-2.0

/// Frames on the TCP links between daemons: a length and a FlatBuffer.
#pragma once

#include "portpaddle/base/error.h"
#include "portpaddle/base/socket_address.h"
#include "portpaddle/wire/peer_generated.h"

#include <mutex>
#include <optional>
#include <string>
#include <string_view>

namespace Portpaddle {

class Metrics;

/// Larger frames end the link. A request's body travels in one frame.
inline constexpr std::size_t largestLinkFrame = 9 * 1024 * 1024;

/// Until a peer has proved itself it may not make this daemon allocate more than this.
inline constexpr std::size_t largestHandshakeFrame = 4096;

/// A connected socket that carries frames. Reading belongs to one thread, writing is serialised.
class FrameSocket
{
public:
    FrameSocket(int descriptor, Metrics &metrics);
    FrameSocket(const FrameSocket &) = delete;
    FrameSocket &operator=(const FrameSocket &) = delete;
    ~FrameSocket();

    /// Connects within @p timeout.
    static Result<int> connectTo(const SocketAddress &address, Millis timeout);

    /// False when the peer is gone or takes nothing for too long.
    bool write(const Wire::LinkFrameT &frame);
    /// The next frame; none when the link ended or the peer broke the protocol.
    std::optional<Wire::LinkFrameT> read(std::size_t largest = largestLinkFrame);
    /// How long read() may wait for bytes; zero waits without bound.
    void setReadTimeout(Millis timeout);
    /// Ends the link from any thread; read() and write() return.
    void shutDown();

private:
    bool readExactly(char *into, std::size_t size);

    const int descriptor_;
    Metrics &metrics_;
    std::mutex writing_;
};

/// A frame with @p body.
template<typename Body>
Wire::LinkFrameT frameOf(Body body)
{
    Wire::LinkFrameT frame;
    frame.body.Set(std::move(body));
    return frame;
}

} // namespace Portpaddle
