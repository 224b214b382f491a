// SPDX-FileCopyrightText: 2026 portpaddle contributors
// SPDX-License-Identifier: Apache-2.0

#include "portpaddle/gateway/memory_move.h"

#include <boost/beast/http/read.hpp>
#include <boost/beast/http/write.hpp>

namespace Portpaddle {

namespace http = boost::beast::http;

namespace {

constexpr std::chrono::milliseconds connectTimeout{ 300 };

/// Closes a connection after a time, unless this object is destroyed before.
class ConnectionTimeout
{
public:
    ConnectionTimeout(Executor executor, UpstreamConnection &connection, std::chrono::milliseconds time)
        : timer_(executor), connection_(std::make_shared<UpstreamConnection *>(&connection))
    {
        timer_.expires_after(time);
        timer_.async_wait([connection = connection_](NetError error) {
            if (!error && *connection != nullptr) {
                (*connection)->interrupt();
            }
        });
    }

    ~ConnectionTimeout()
    {
        *connection_ = nullptr;
        timer_.cancel();
    }

    ConnectionTimeout(const ConnectionTimeout &) = delete;
    ConnectionTimeout &operator=(const ConnectionTimeout &) = delete;

private:
    SteadyTimer timer_;
    std::shared_ptr<UpstreamConnection *> connection_;
};

} // namespace

Task<MemoryMove> moveMemory(ConnectionPool &pool, const UpstreamOrders &orders, const std::string &requestId,
                            const UpstreamRecord &source, const UpstreamRecord &target, std::chrono::milliseconds maxTime,
                            const OrderAnswerHandler &onAnswer)
{
    NetError error;
    UpstreamConnection *opening = nullptr;
    std::unique_ptr<UpstreamConnection> connection = pool.takeIdle(source.id, BootClock::now());
    if (!connection) {
        connection = co_await pool.connect(source.id, source.address, connectTimeout, &opening, error);
    }
    if (!connection) {
        MemoryMove failed;
        failed.outcome = "no connection: " + error.message();
        co_return failed;
    }
    MemoryMove moved;
    {
        const ConnectionTimeout timeout(connection->socket.get_executor(), *connection, maxTime);
        HttpRequest message = orders.stopAndMove(requestId, target.address);
        message.prepare_payload();
        co_await http::async_write(connection->socket, message, awaitingInto(error));
        http::response<http::string_body> answer;
        if (!error) {
            co_await http::async_read(connection->socket, connection->buffer, answer, awaitingInto(error));
        }
        moved.outcome = error ? "no answer: " + error.message() : "status " + std::to_string(answer.result_int());
        if (!error) {
            onAnswer(source, answer);
            const std::optional<StoppedRun> stopped = orders.stoppedRun(answer.result_int(), answer.body());
            moved.memorySource = stopped ? std::optional(source.address + "/" + stopped->handle) : std::nullopt;
            moved.atSource = stopped && stopped->atSource;
        }
    }
    // The engine stops soon, so its connections are not kept.
    connection.reset();
    pool.ended(source.id);
    co_return moved;
}

} // namespace Portpaddle
