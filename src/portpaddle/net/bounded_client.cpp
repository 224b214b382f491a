// SPDX-FileCopyrightText: 2026 portpaddle contributors
// SPDX-License-Identifier: Apache-2.0

#include "portpaddle/net/bounded_client.h"

#include "portpaddle/interfaces/clock.h"
#include "portpaddle/net/peer_bounds.h"

namespace Portpaddle {

namespace {

/// Bounds the lines that the library reads byte by byte: of the head, of chunks and of trailers.
class BoundedStream : public httplib::Stream
{
public:
    explicit BoundedStream(httplib::Stream &stream) : stream_(stream)
    {
    }

    bool is_readable() const override
    {
        return stream_.is_readable();
    }
    bool is_writable() const override
    {
        return stream_.is_writable();
    }
    ssize_t read(char *bytes, size_t size) override
    {
        const ssize_t got = stream_.read(bytes, size);
        return got != 1 || size != 1 || acceptLineByte(*bytes) ? got : -1;
    }
    ssize_t write(const char *bytes, size_t size) override
    {
        return stream_.write(bytes, size);
    }
    void get_remote_ip_and_port(std::string &ip, int &port) const override
    {
        stream_.get_remote_ip_and_port(ip, port);
    }
    void get_local_ip_and_port(std::string &ip, int &port) const override
    {
        stream_.get_local_ip_and_port(ip, port);
    }
    socket_t socket() const override
    {
        return stream_.socket();
    }

private:
    bool acceptLineByte(char byte)
    {
        if (headBytes_ == 0) {
            begin_ = BootClock::now();
        }
        ++lineBytes_;
        headBytes_ += headEnded_ ? 0 : 1;
        const bool isInTime = headEnded_ || BootClock::now() - begin_ <= PeerBounds::answerHeadTime;
        const bool fits = lineBytes_ <= PeerBounds::callLineBytes && headBytes_ <= PeerBounds::answerHeadBytes;
        if (byte == '\n') {
            constexpr std::size_t emptyLineBytes = 2;
            headEnded_ = headEnded_ || lineBytes_ <= emptyLineBytes;
            lineBytes_ = 0;
        }
        return isInTime && fits;
    }

    httplib::Stream &stream_;
    SteadyTime begin_;
    std::size_t lineBytes_ = 0;
    std::size_t headBytes_ = 0;
    bool headEnded_ = false;
};

} // namespace

bool BoundedClient::process_socket(const Socket &socket, std::function<bool(httplib::Stream &stream)> callback)
{
    return httplib::detail::process_client_socket(socket.sock, read_timeout_sec_, read_timeout_usec_, write_timeout_sec_,
                                                  write_timeout_usec_, [&callback](httplib::Stream &stream) {
                                                      BoundedStream bounded(stream);
                                                      return callback(bounded);
                                                  });
}

} // namespace Portpaddle
