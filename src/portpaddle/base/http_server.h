// SPDX-FileCopyrightText: 2026 portpaddle contributors
// SPDX-License-Identifier: Apache-2.0

/// An HTTP listener with bounds on threads, sizes and times.
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

/// Bounds of a listener.
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

/// Owns a listener and its accepting thread.
class HttpServer
{
public:
    HttpServer(std::string name, HttpServerLimits limits);
    ~HttpServer();

    /// Routes are added here before start().
    httplib::Server &routes();
    /// Listens at @p address; port 0 takes any free one. The value is the address in use.
    Result<SocketAddress> start(const SocketAddress &address);
    /// Ends the listener and waits for its requests.
    void stop();

private:
    class TaskQueueAdapter;

    void bindLimits();

    const std::string name_;
    const HttpServerLimits limits_;
    int listeningSocket_ = -1;
    std::unique_ptr<httplib::Server> server_;
    Thread acceptor_;
};

} // namespace Portpaddle
