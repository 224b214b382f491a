// SPDX-FileCopyrightText: 2026 portpaddle contributors
// SPDX-License-Identifier: Apache-2.0

#include "portpaddle/net/bounded_client.h"

#include "portpaddle/interfaces/clock.h"
#include "portpaddle/net/peer_bounds.h"

namespace Portpaddle {

namespace {

/// Bounds the lines that the library reads byte by byte: of the head, of chunks and of trailers.
class BoundedStream : public CheckedStream
{
public:
    using CheckedStream::CheckedStream;

private:
    bool acceptLineByte(char byte) override
    {
        if (headBytes_ == 0) {
            begin_ = BootClock::now();
        }
        ++lineBytes_;
        headBytes_ += headEnded() ? 0 : 1;
        const bool isInTime = headEnded() || BootClock::now() - begin_ <= PeerBounds::answerHeadTime;
        const bool fits = lineBytes_ <= PeerBounds::callLineBytes && headBytes_ <= PeerBounds::answerHeadBytes;
        lineBytes_ = byte == '\n' ? 0 : lineBytes_;
        return isInTime && fits && CheckedStream::acceptLineByte(byte);
    }

    SteadyTime begin_;
    std::size_t lineBytes_ = 0;
    std::size_t headBytes_ = 0;
};

} // namespace

std::unique_ptr<CheckedStream> BoundedClient::check(httplib::Stream &stream) const
{
    return std::make_unique<BoundedStream>(stream);
}

} // namespace Portpaddle
