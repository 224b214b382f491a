// SPDX-FileCopyrightText: 2026 portpaddle contributors
// SPDX-License-Identifier: Apache-2.0

#include "portpaddle/net/checked_client.h"

#include "portpaddle/net/http_status.h"

namespace Portpaddle {

namespace {

/// Whether the library does the right thing with an answer of @p status. It reads on after 100 only, and takes any other three
/// digits for those of the answer.
bool isReadable(unsigned status)
{
    const bool isFinal = HttpStatus::isValid(status) && !HttpStatus::isInformational(status);
    return isFinal || status == HttpStatus::continueRequest;
}

} // namespace

CheckedStream::CheckedStream(httplib::Stream &stream) : stream_(stream)
{
}

bool CheckedStream::is_readable() const
{
    return stream_.is_readable();
}

bool CheckedStream::is_writable() const
{
    return stream_.is_writable();
}

ssize_t CheckedStream::read(char *bytes, size_t size)
{
    const ssize_t got = stream_.read(bytes, size);
    return got != 1 || size != 1 || acceptLineByte(*bytes) ? got : -1;
}

ssize_t CheckedStream::write(const char *bytes, size_t size)
{
    return stream_.write(bytes, size);
}

void CheckedStream::get_remote_ip_and_port(std::string &ip, int &port) const
{
    stream_.get_remote_ip_and_port(ip, port);
}

void CheckedStream::get_local_ip_and_port(std::string &ip, int &port) const
{
    stream_.get_local_ip_and_port(ip, port);
}

socket_t CheckedStream::socket() const
{
    return stream_.socket();
}

bool CheckedStream::acceptLineByte(char byte)
{
    if (head_.hasEnded() && head_.status() == HttpStatus::continueRequest) {
        head_ = {};
    }
    return head_.accept(byte) && (!head_.hasEnded() || isReadable(head_.status()));
}

bool CheckedStream::headEnded() const
{
    return head_.hasEnded();
}

std::unique_ptr<CheckedStream> CheckedClient::check(httplib::Stream &stream) const
{
    return std::make_unique<CheckedStream>(stream);
}

bool CheckedClient::process_socket(const Socket &socket, std::function<bool(httplib::Stream &stream)> callback)
{
    return httplib::detail::process_client_socket(
        socket.sock, read_timeout_sec_, read_timeout_usec_, write_timeout_sec_, write_timeout_usec_,
        [this, &callback](httplib::Stream &stream) { return callback(*check(stream)); });
}

} // namespace Portpaddle
