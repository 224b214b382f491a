// SPDX-FileCopyrightText: 2026 portpaddle contributors
// SPDX-License-Identifier: Apache-2.0

/// An HTTP listener with limits on threads, sizes and times.
#pragma once

#include "portpaddle/base/error.h"
#include "portpaddle/base/socket_address.h"
#include "portpaddle/base/thread.h"

#include <functional>
#include <memory>
#include <string>

namespace httplib {
class ContentReader;
class Server;
struct Request;
struct Response;
} // namespace httplib

namespace Portpaddle {

/// The limits of a listener.
struct HttpServerLimits
{
    std::size_t maximumThreads = 64;
    std::size_t maximumBodyBytes = 1024 * 1024;
    std::size_t maximumPathLength = 512;
    Millis readTimeout{ 5'000 };
    Millis writeTimeout{ 10'000 };
    Millis keepAlive{ 5'000 };
    std::size_t keepAliveRequests = 1'000;
};

/// Owns a listening socket, its accepting thread and its worker threads.
class HttpServer
{
public:
    HttpServer(std::string name, HttpServerLimits limits);
    ~HttpServer();

    /// Returns the HTTP library's server, to which routes are added before start().
    httplib::Server &routes();
    /// Listens on @p address and returns the address in use; port 0 selects any free port.
    Result<SocketAddress> start(const SocketAddress &address);
    /// Closes the listener and waits for the requests in progress.
    void stop();

private:
    class TaskQueueAdapter;

    void applyLimits();

    const std::string name_;
    const HttpServerLimits limits_;
    int listeningSocket_ = -1;
    std::unique_ptr<httplib::Server> server_;
    Thread acceptor_;
};

} // namespace Portpaddle
