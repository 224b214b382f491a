// SPDX-FileCopyrightText: 2026 portpaddle contributors
// SPDX-License-Identifier: Apache-2.0

#include "portpaddle/attempts/answer_reading.h"

#include "portpaddle/net/answer_head_check.h"
#include "portpaddle/net/http_status.h"

#include <boost/beast/core/read_size.hpp>
#include <boost/beast/http/error.hpp>
#include <boost/beast/http/read.hpp>

#include <algorithm>

namespace Portpaddle {

namespace http = boost::beast::http;

namespace {

// The most that is read at once.
constexpr std::size_t maxReadBytes = 64 * 1024;

/// Checks the lines of a head in the buffer of a connection, from which the parser takes whole lines.
class BufferedHeadCheck
{
public:
    explicit BufferedHeadCheck(const boost::beast::flat_buffer &buffer) : buffer_(buffer)
    {
    }

    /// Looks at what has arrived; returns false if it is no head.
    bool acceptArrived()
    {
        const auto bytes = buffer_.data();
        const auto *begin = static_cast<const char *>(bytes.data());
        for (; checked_ < bytes.size() && !check_.hasEnded(); ++checked_) {
            if (!check_.accept(begin[checked_])) {
                return false;
            }
        }
        return true;
    }

    /// To be called when the parser has taken @p size bytes from the buffer.
    void forget(std::size_t size)
    {
        checked_ -= std::min(size, checked_);
    }

private:
    const boost::beast::flat_buffer &buffer_;
    AnswerHeadCheck check_;
    std::size_t checked_ = 0;
};

/// Reads what has arrived into the buffer of @p connection.
Task<void> readIntoBuffer(UpstreamConnection &connection, NetError &error)
{
    const std::size_t room = boost::beast::read_size(connection.buffer, maxReadBytes);
    if (room == 0) {
        error = http::error::header_limit;
        co_return;
    }
    const std::size_t size = co_await connection.socket.async_read_some(connection.buffer.prepare(room), awaitingInto(error));
    connection.buffer.commit(size);
    connection.noteError(error);
}

/// Returns the error of a connection that ended before the head of @p parser did.
NetError endWithin(const AnswerParser &parser)
{
    return parser.got_some() ? http::error::partial_message : http::error::end_of_stream;
}

} // namespace

// The parser joins a line that begins with a blank to the line before it. Whether its sender meant a continuation or a field
// whose name is damaged can't be told, so that such a head is none (RFC 9112, section 5.2).
Task<void> readAnswerHead(UpstreamConnection &connection, AnswerParser &parser, NetError &error)
{
    BufferedHeadCheck check(connection.buffer);
    bool needsBytes = connection.buffer.size() == 0;
    while (!parser.is_header_done()) {
        if (needsBytes) {
            co_await readIntoBuffer(connection, error);
        }
        if (error) {
            error = error == boost::asio::error::eof ? endWithin(parser) : error;
            co_return;
        }
        if (!check.acceptArrived()) {
            error = http::error::bad_field;
            co_return;
        }
        const std::size_t taken = parser.put(connection.buffer.data(), error);
        connection.buffer.consume(taken);
        check.forget(taken);
        needsBytes = taken == 0 || error == http::error::need_more || connection.buffer.size() == 0;
        error = error == http::error::need_more ? NetError() : error;
    }
    if (error) {
        co_return;
    }
    // Such a head is no answer, not even an interim one, so whose bytes follow it is unknown.
    if (!HttpStatus::isValid(parser.get().result_int())) {
        error = http::error::bad_status;
    }
}

// The kernel tells of a reset once, to whichever call comes first; reads after it end as if the peer had closed the connection in
// order (RFC 9112, section 8: an answer is complete unless an error was indicated).
Task<void> readMore(UpstreamConnection &connection, AnswerParser &parser, NetError &error)
{
    co_await http::async_read_some(connection.socket, connection.buffer, parser, awaitingInto(error));
    connection.noteError(error);
    if (!error && parser.is_done() && parser.need_eof() && connection.hasFailed()) {
        error = http::error::partial_message;
    }
}

} // namespace Portpaddle
