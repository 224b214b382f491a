// SPDX-FileCopyrightText: 2026 portpaddle contributors
// SPDX-License-Identifier: Apache-2.0

#include "portpaddle/streams/memory_move.h"

#include "portpaddle/attempts/answer_reading.h"
#include "portpaddle/net/http_status.h"
#include "portpaddle/net/peer_bounds.h"
#include "portpaddle/net/received_body.h"

#include <boost/beast/http/write.hpp>

#include <optional>

namespace Portpaddle {

namespace http = boost::beast::http;

namespace {

constexpr std::chrono::milliseconds connectTimeout{ 300 };

Task<void> readOneAnswer(UpstreamConnection &connection, AnswerParser &parser, NetError &error)
{
    parser.header_limit(PeerBounds::orderAnswerBytes);
    parser.body_limit(PeerBounds::orderAnswerBytes);
    if (!error) {
        co_await readAnswerHead(connection, parser, error);
    }
    while (!error && !parser.is_done()) {
        co_await readMore(connection, parser, error);
    }
}

/// Reads the answer to an order, past interim ones.
Task<void> readAnswer(UpstreamConnection &connection, std::optional<AnswerParser> &parser, NetError &error)
{
    unsigned interim = 0;
    parser.emplace();
    co_await readOneAnswer(connection, *parser, error);
    while (!error && HttpStatus::isInformational(parser->get().result_int())) {
        if (++interim > PeerBounds::interimAnswers) {
            error = boost::asio::error::message_size;
            co_return;
        }
        parser.emplace();
        co_await readOneAnswer(connection, *parser, error);
    }
}

} // namespace

Task<MemoryMove> sendMoveOrder(ConnectionPool &pool, const UpstreamOrders &orders, HttpRequest order,
                               const UpstreamRecord &source, std::chrono::milliseconds maxTime,
                               const OrderAnswerHandler &onAnswer)
{
    NetError error;
    UpstreamConnection *opening = nullptr;
    // Answers to orders name no request, so only on a connection that has carried nothing else is the first one that of the
    // order.
    std::unique_ptr<UpstreamConnection> connection
        = co_await pool.connect(source.id, source.address, connectTimeout, &opening, error);
    if (connection && !connection->looksUsable()) {
        connection.reset();
        pool.ended(source.id);
        error = boost::asio::error::connection_reset;
    }
    if (!connection) {
        MemoryMove failed;
        failed.outcome = "no connection: " + error.message();
        co_return failed;
    }
    MemoryMove moved;
    {
        const ConnectionTimeout timeout(*connection, maxTime);
        order.prepare_payload();
        moved.sent = true;
        co_await http::async_write(connection->socket, order, awaitingInto(error));
        connection->noteError(error);
        std::optional<AnswerParser> parser;
        co_await readAnswer(*connection, parser, error);
        const http::response<ReceivedBody> &answer = parser->get();
        moved.outcome = error ? "no answer: " + error.message() : "status " + std::to_string(answer.result_int());
        if (!error) {
            onAnswer(source, answer);
            moved.status = answer.result_int();
            const std::optional<RunMemory> memory = orders.memoryIn(answer.result_int(), answer.body());
            moved.memorySource = memory ? std::optional(source.address + "/" + memory->handle) : std::nullopt;
            moved.atSource = memory && memory->atSource;
        }
    }
    // The engine stops soon, so its connections are not kept.
    connection.reset();
    pool.ended(source.id);
    co_return moved;
}

} // namespace Portpaddle
