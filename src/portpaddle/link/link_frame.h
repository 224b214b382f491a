// SPDX-FileCopyrightText: 2026 portpaddle contributors
// SPDX-License-Identifier: Apache-2.0

/// Frames on the TCP links between daemons: a length word and a FlatBuffer.
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

/// Largest frame, in bytes; a larger one ends the link. A frame must hold a whole request body.
inline constexpr std::size_t maxLinkFrameBytes = 9 * 1024 * 1024;

/// Largest frame of a peer that is not authenticated yet, in bytes; bounds what it can make this daemon allocate.
inline constexpr std::size_t maxHandshakeFrameBytes = 4096;

/// A connected socket that carries frames. Only one thread may read; writes are serialised.
class FrameSocket
{
public:
    FrameSocket(int descriptor, Metrics &metrics);
    FrameSocket(const FrameSocket &) = delete;
    FrameSocket &operator=(const FrameSocket &) = delete;
    ~FrameSocket();

    /// Connects within @p timeout; returns the descriptor or PeerUnreachable.
    static Result<int> connectTo(const SocketAddress &address, Millis timeout);

    /// Sends a frame; returns false if the link is closed or the peer accepts no bytes before the write timeout.
    bool write(const Wire::LinkFrameT &frame);
    /// Returns the next frame, or no value if the link ended or the peer violated the protocol.
    std::optional<Wire::LinkFrameT> read(std::size_t maxBytes = maxLinkFrameBytes);
    /// Sets how long read() may wait for bytes; zero waits without bound.
    void setReadTimeout(Millis timeout);
    /// Shuts the link down, from any thread; pending read() and write() calls return.
    void shutDown();

private:
    bool readExactly(char *into, std::size_t size);

    const int descriptor_;
    Metrics &metrics_;
    std::mutex writeMutex_;
};

/// Returns a frame with @p body.
template<typename Body>
Wire::LinkFrameT frameOf(Body body)
{
    Wire::LinkFrameT frame;
    frame.body.Set(std::move(body));
    return frame;
}

} // namespace Portpaddle
