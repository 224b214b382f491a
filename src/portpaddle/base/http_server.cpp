// SPDX-FileCopyrightText: 2026 portpaddle contributors
// SPDX-License-Identifier: Apache-2.0

#include "portpaddle/base/http_server.h"

#include "portpaddle/base/worker_pool.h"

#include <fmt/format.h>
#include <httplib.h>
#include <sys/socket.h>

namespace Portpaddle {

namespace {

/// The backlog of the listening socket. The library's backlog of five drops connections in bursts.
constexpr int listenBacklog = 1024;
/// The maximum number of accepted connections that wait for a thread.
constexpr std::size_t maxQueuedConnections = 1024;

} // namespace

/// Adapts a WorkerPool to the task queue interface of the HTTP library.
class HttpServer::TaskQueueAdapter : public httplib::TaskQueue
{
public:
    TaskQueueAdapter(const std::string &name, std::size_t threads) : pool_(name, threads, maxQueuedConnections)
    {
    }

    void enqueue(std::function<void()> task) override
    {
        // Dropping a task would leak its connection: when the pool is full, the accepting thread runs the task itself.
        if (!pool_.submit(task)) {
            task();
        }
    }

    void shutdown() override
    {
        pool_.stop();
    }

private:
    WorkerPool pool_;
};

HttpServer::HttpServer(std::string name, HttpServerLimits limits)
    : name_(std::move(name)), limits_(limits), server_(std::make_unique<httplib::Server>())
{
    applyLimits();
}

HttpServer::~HttpServer()
{
    stop();
}

httplib::Server &HttpServer::routes()
{
    return *server_;
}

void HttpServer::applyLimits()
{
    server_->new_task_queue = [this] { return new TaskQueueAdapter(name_, limits_.maximumThreads); };
    server_->set_payload_max_length(limits_.maximumBodyBytes);
    server_->set_read_timeout(limits_.readTimeout);
    server_->set_write_timeout(limits_.writeTimeout);
    server_->set_keep_alive_timeout(std::chrono::duration_cast<std::chrono::seconds>(limits_.keepAlive).count());
    server_->set_keep_alive_max_count(limits_.keepAliveRequests);
    server_->set_tcp_nodelay(true);
    server_->set_socket_options([this](socket_t socket) {
        const int enabled = 1;
        setsockopt(socket, SOL_SOCKET, SO_REUSEADDR, &enabled, sizeof enabled);
        listeningSocket_ = socket;
    });
    // Matching a route pattern recurses once per character of the path: a long path would overflow the stack.
    server_->set_pre_routing_handler([this](const httplib::Request &request, httplib::Response &response) {
        if (request.path.size() <= limits_.maximumPathLength) {
            return httplib::Server::HandlerResponse::Unhandled;
        }
        response.status = 414;
        response.set_header("Connection", "close");
        response.set_content(R"({"error":{"code":"bad_request","message":"the path is too long","run":"not_run"}})",
                             "application/json");
        return httplib::Server::HandlerResponse::Handled;
    });
}

Result<SocketAddress> HttpServer::start(const SocketAddress &address)
{
    SocketAddress bound = address;
    if (address.port == 0) {
        const int port = server_->bind_to_any_port(address.host);
        bound.port = static_cast<std::uint16_t>(port > 0 ? port : 0);
    } else if (!server_->bind_to_port(address.host, address.port)) {
        bound.port = 0;
    }
    if (bound.port == 0) {
        return Error{ ErrorCode::Internal, fmt::format("{}: cannot listen at {}", name_, toText(address)), RunState::NotRun,
                      std::nullopt };
    }
    listen(listeningSocket_, listenBacklog);
    acceptor_ = Thread(name_ + "-acc", [this] { server_->listen_after_bind(); });
    while (!server_->is_running()) {
        sched_yield();
    }
    return bound;
}

void HttpServer::stop()
{
    server_->stop();
    acceptor_.join();
}

} // namespace Portpaddle
