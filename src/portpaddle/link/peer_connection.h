// SPDX-FileCopyrightText: 2026 portpaddle contributors
// SPDX-License-Identifier: Apache-2.0

/// The connecting end of a link, which carries many requests at once, each with its own flow control.
#pragma once

#include "portpaddle/base/thread.h"
#include "portpaddle/interfaces/attempt_target.h"
#include "portpaddle/link/handshake.h"
#include "portpaddle/link/link_frame.h"

#include <atomic>
#include <condition_variable>
#include <deque>
#include <memory>
#include <mutex>
#include <unordered_map>

namespace Portpaddle {

class Clock;

/// An authenticated link to a daemon. Thread-safe.
class PeerConnection
{
public:
    PeerConnection(std::unique_ptr<FrameSocket> socket, PeerIdentity peer, const Clock &clock);
    ~PeerConnection();

    /// Runs a call on the peer; the calling thread passes the answer to @p sink.
    AttemptResult run(Wire::OpenRequestT open, Millis timeLeft, AnswerSink &sink);
    /// Sends a query to the peer; the value is empty if the peer has no answer.
    Result<std::optional<std::string>> ask(const std::string &kind, const std::string &argument, Millis timeout);
    bool isOpen() const;
    const PeerIdentity &peer() const;

private:
    /// Frames received for one stream and not yet read; the granted credit bounds their size.
    struct Stream
    {
        std::deque<Wire::LinkFrameT> frames;
        std::size_t queuedBytes = 0;
        /// Whether the link was lost or the peer exceeded its credit.
        bool failed = false;
        std::condition_variable arrived;
    };

    void readFrames();
    void deliver(std::uint32_t id, Wire::LinkFrameT frame);
    std::uint32_t openStream(const std::shared_ptr<Stream> &stream);
    void closeStream(std::uint32_t id);
    /// Waits for the next frame of a stream; returns no value if the stream failed or @p until has passed.
    std::optional<Wire::LinkFrameT> awaitFrame(Stream &stream, Millis until);
    /// Pings a silent peer, and shuts the link down if the silence lasts.
    void checkPeerIsAlive();
    AttemptResult relayAnswer(std::uint32_t id, Stream &stream, Millis until, AnswerSink &sink);

    std::unique_ptr<FrameSocket> socket_;
    const PeerIdentity peer_;
    const Clock &clock_;
    std::mutex mutex_;
    std::unordered_map<std::uint32_t, std::shared_ptr<Stream>> streams_;
    std::uint32_t nextStream_ = 0;
    std::atomic<bool> open_{ true };
    std::atomic<std::int64_t> lastReceivedAt_;
    std::atomic<std::int64_t> lastPingAt_;
    Thread reader_;
};

} // namespace Portpaddle
