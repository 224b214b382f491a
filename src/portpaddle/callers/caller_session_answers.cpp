// SPDX-FileCopyrightText: 2026 portpaddle contributors
// SPDX-License-Identifier: Apache-2.0

// Answers on a session's connection. The framing is decided once, with the head, and everything after the head goes by it.

#include "portpaddle/callers/caller_session.h"

#include <boost/asio/write.hpp>
#include <boost/beast/http/chunk_encode.hpp>
#include <boost/beast/http/empty_body.hpp>
#include <boost/beast/http/serializer.hpp>
#include <boost/beast/http/span_body.hpp>
#include <boost/beast/http/write.hpp>

#include <sys/socket.h>

namespace Portpaddle {

namespace http = boost::beast::http;

namespace {

using Bytes = boost::beast::span<const char>;

/// Sets the length of an answer whose body is @p bodyBytes long, or would be if @p framing allowed one.
void setLength(http::header<false, http::fields> &head, BodyFraming framing, std::size_t bodyBytes)
{
    const bool isNamed = head.find(http::field::content_length) != head.end();
    if (!mayHaveLength(head.result_int())) {
        head.erase(http::field::content_length);
    } else if (framing == BodyFraming::Length || (bodyBytes > 0 && !isNamed)) {
        head.set(http::field::content_length, std::to_string(bodyBytes));
    }
}

} // namespace

template<typename Buffers>
Task<bool> CallerSession::write(const Buffers &buffers)
{
    NetError error;
    armWriteTimer();
    co_await boost::asio::async_write(socket_, buffers, awaitingInto(error));
    disarmTimer();
    co_return !error;
}

void CallerSession::setResetOnClose(bool on)
{
    const linger option{ on ? 1 : 0, 0 };
    (void)setsockopt(socket_.native_handle(), SOL_SOCKET, SO_LINGER, &option, sizeof option);
}

const std::string &CallerSession::requestId() const
{
    return requestId_;
}

Task<bool> CallerSession::sendContinue()
{
    static constexpr std::string_view continueAnswer = "HTTP/1.1 100 Continue\r\n\r\n";
    NetError error;
    co_await boost::asio::async_write(socket_, boost::asio::buffer(continueAnswer), awaitingInto(error));
    co_return !error;
}

Task<bool> CallerSession::sendWhole(WholeAnswer answer)
{
    const std::string &body = answer.sharedBody ? *answer.sharedBody : answer.body;
    framing_ = framingOfWhole(requestLine_, answer.status);
    http::response<http::span_body<const char>> message(http::int_to_status(answer.status), 11);
    message.result(answer.status);
    static_cast<http::fields &>(message) = std::move(answer.fields);
    message.body() = framing_ == BodyFraming::Length ? Bytes(body.data(), body.size()) : Bytes();
    setLength(message, framing_, body.size());
    keepOpen_ = keepOpen_ && !handler_.closing();
    message.keep_alive(keepOpen_);
    NetError error;
    http::response_serializer<http::span_body<const char>> serializer(message);
    while (!error && !serializer.is_done()) {
        armWriteTimer();
        co_await http::async_write_some(socket_, serializer, awaitingInto(error));
    }
    disarmTimer();
    co_return !error;
}

Task<bool> CallerSession::sendHead(unsigned status, http::fields fields)
{
    framing_ = framingOfStream(requestLine_, status);
    http::response<http::empty_body> message(http::int_to_status(status), 11);
    message.result(status);
    static_cast<http::fields &>(message) = std::move(fields);
    keepOpen_ = keepOpen_ && !handler_.closing() && framing_ != BodyFraming::UntilClose;
    message.keep_alive(keepOpen_);
    if (framing_ == BodyFraming::Chunks) {
        message.chunked(true);
    } else if (framing_ == BodyFraming::UntilClose) {
        setResetOnClose(true);
    }
    http::response_serializer<http::empty_body> serializer(message);
    NetError error;
    armWriteTimer();
    co_await http::async_write_header(socket_, serializer, awaitingInto(error));
    disarmTimer();
    co_return !error;
}

Task<bool> CallerSession::sendChunk(std::string_view bytes)
{
    if (bytes.empty()) {
        co_return true;
    }
    switch (framing_) {
    case BodyFraming::Chunks:
        co_return co_await write(http::make_chunk(boost::asio::buffer(bytes)));
    case BodyFraming::UntilClose:
        co_return co_await write(boost::asio::buffer(bytes));
    default:
        co_return true;
    }
}

Task<bool> CallerSession::sendEnd()
{
    if (framing_ == BodyFraming::Chunks) {
        co_return co_await write(http::make_chunk_last());
    }
    if (framing_ == BodyFraming::UntilClose) {
        setResetOnClose(false);
    }
    co_return true;
}

// Without chunks there is no place for a trailer, and the answer must not look complete without it.
Task<bool> CallerSession::sendEndWithTrailer(const char *name, const std::string &value)
{
    if (framing_ != BodyFraming::Chunks) {
        abandon();
        co_return false;
    }
    http::fields trailer;
    trailer.set(name, value);
    co_return co_await write(http::make_chunk_last(trailer));
}

void CallerSession::abandon()
{
    keepOpen_ = false;
    close();
}

} // namespace Portpaddle
