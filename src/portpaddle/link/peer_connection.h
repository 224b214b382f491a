// SPDX-FileCopyrightText: 2026 portpaddle contributors
// SPDX-License-Identifier: Apache-2.0

/// The connecting end of a link: many requests at once, each with its own flow control.
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

/// One authenticated link to a daemon. Thread-safe.
class PeerConnection
{
public:
    PeerConnection(std::unique_ptr<FrameSocket> socket, PeerIdentity peer, const Clock &clock);
    ~PeerConnection();

    /// Runs a call on the peer; the calling thread carries the answer to @p sink.
    AttemptResult run(Wire::OpenRequestT open, Millis timeLeft, AnswerSink &sink);
    /// Asks the peer; no value when it has no answer.
    Result<std::optional<std::string>> ask(const std::string &kind, const std::string &argument, Millis timeout);
    bool isOpen() const;
    const PeerIdentity &peer() const;

private:
    /// Frames that arrived for one stream; what may wait here is bounded by the credit given.
    struct Stream
    {
        std::deque<Wire::LinkFrameT> frames;
        std::size_t waitingBytes = 0;
        bool lost = false;
        std::condition_variable arrived;
    };

    void readFrames();
    void deliver(std::uint32_t id, Wire::LinkFrameT frame);
    std::uint32_t openStream(const std::shared_ptr<Stream> &stream);
    void closeStream(std::uint32_t id);
    /// The next frame of a stream; none when the link is lost or @p until has passed.
    std::optional<Wire::LinkFrameT> await(Stream &stream, Millis until);
    void checkPeerIsAlive();
    AttemptResult carry(std::uint32_t id, Stream &stream, Millis until, AnswerSink &sink);

    std::unique_ptr<FrameSocket> socket_;
    const PeerIdentity peer_;
    const Clock &clock_;
    std::mutex mutex_;
    std::unordered_map<std::uint32_t, std::shared_ptr<Stream>> streams_;
    std::uint32_t nextStream_ = 0;
    std::atomic<bool> open_{ true };
    std::atomic<std::int64_t> heardAt_;
    std::atomic<std::int64_t> pingedAt_;
    Thread reader_;
};

} // namespace Portpaddle
