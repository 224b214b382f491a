// SPDX-FileCopyrightText: 2026 portpaddle contributors
// SPDX-License-Identifier: Apache-2.0

/// Blocking calls over HTTP to peers whose heads may be damaged.
#pragma once

#include "portpaddle/net/answer_head_check.h"

#include <httplib.h>

#include <memory>

namespace Portpaddle {

/// Passes on what a connection carries, and ends the reading at a line of a head that is none. The library reads heads and the
/// lines between chunks byte by byte, and nothing else.
class CheckedStream : public httplib::Stream
{
public:
    explicit CheckedStream(httplib::Stream &stream);

    bool is_readable() const override;
    bool is_writable() const override;
    ssize_t read(char *bytes, size_t size) override;
    ssize_t write(const char *bytes, size_t size) override;
    void get_remote_ip_and_port(std::string &ip, int &port) const override;
    void get_local_ip_and_port(std::string &ip, int &port) const override;
    socket_t socket() const override;

protected:
    /// Returns false if the answer is to be given up at @p byte of a line.
    virtual bool acceptLineByte(char byte);
    bool headEnded() const;

private:
    httplib::Stream &stream_;
    AnswerHeadCheck head_;
};

/// A client that gives up an answer whose status is none or whose head has a line that is none. The library takes any bytes for
/// the name of a field, and skips a line that it cannot read, a length among them.
class CheckedClient : public httplib::ClientImpl
{
public:
    using httplib::ClientImpl::ClientImpl;

protected:
    /// Returns the stream through which the library reads from @p stream.
    virtual std::unique_ptr<CheckedStream> check(httplib::Stream &stream) const;

private:
    bool process_socket(const Socket &socket, std::function<bool(httplib::Stream &stream)> callback) override;
};

} // namespace Portpaddle
