// SPDX-FileCopyrightText: 2026 portpaddle contributors
// SPDX-License-Identifier: Apache-2.0

/// A daemon with two engines that transfer the memory of runs to each other.
#pragma once

#include "support/eventually.h"
#include "support/gateway_site.h"
#include "support/plain_orders.h"
#include "support/scripted_upstream.h"

#include <array>
#include <atomic>
#include <memory>
#include <string>

namespace Portpaddle {

/// Each stream sends three events and ends when its engine is ordered to move it; resumed, it continues up to the sixth.
class MovingEngines : public GatewaySite
{
public:
    MovingEngines()
    {
        routes.services["s"].movesMemory = true;
        publishRoutes();
        onLoop([this](Gateway &gateway) { gateway.setOrders(&orders); });
        for (std::size_t index = 0; index < engines.size(); ++index) {
            engines[index] = std::make_unique<ScriptedUpstream>([this](const SeenRequest &request) { return answer(request); });
            addUpstream("u" + std::to_string(index), engines[index]->address());
        }
    }

    /// Requests a stream through @p caller and returns the index of the engine that runs it.
    std::size_t beginStream(RawCaller &caller, const std::string &headers = {}, const std::string &path = "/stream/a")
    {
        caller.send(request(path, "id1", headers));
        eventually([this] { return running >= 0; });
        return static_cast<std::size_t>(running);
    }

    /// Ticks the gateway until a move is ordered: the first events arrive only some time after the engine received the request.
    bool tickUntilOrdered()
    {
        return tickUntil([this] { return ordered || released; });
    }

    bool tickUntil(const std::function<bool()> &condition)
    {
        return eventually([this, &condition] {
            onLoop([](Gateway &gateway) { gateway.tick(); });
            return condition();
        });
    }

    PlainOrders orders;
    std::array<std::unique_ptr<ScriptedUpstream>, 2> engines;
    std::string copyAnswer = "HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nh7";
    /// Number of orders to copy a run that goes on.
    std::atomic<unsigned> copies{ 0 };
    /// Number of orders to free a copy.
    std::atomic<unsigned> freed{ 0 };
    std::string moveAnswer = "HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nh7";
    /// Follows that answer until the order's connection is closed.
    std::string endlessMoveAnswer;
    /// Number of next orders to stop a run that are carried out and not answered.
    unsigned lostMoveAnswers = 0;
    /// Number of next continuations, and of next new requests, that are refused.
    unsigned refusals = 0;
    unsigned refuseStarts = 0;
    /// The engine that runs the stream; negative before that.
    std::atomic<int> running{ -1 };
    std::string continuedFrom;
    std::string continuedAt;
    /// Number of events, of those before it, with which a continued run begins.
    unsigned eventsRepeated = 0;
    /// Whether the engine that holds the copy refuses to resume the run.
    bool refusing = false;
    std::atomic<bool> ordered{ false };
    /// Whether streams end without an order.
    std::atomic<bool> released{ false };
    /// Called when an engine is ordered to move a run, before it answers.
    std::function<void()> atOrder = [] {};
    /// Whether streams have neither a length nor chunks and end with their connection.
    bool endsWithConnection = false;
    /// Answer to requests other than orders; empty for the default.
    std::string answerNext;

private:
    ScriptedAnswer answer(const SeenRequest &request)
    {
        if (request.requestLine.starts_with("POST /copy")) {
            ++copies;
            return { copyAnswer };
        }
        if (request.requestLine.starts_with("POST /free")) {
            ++freed;
            return { "HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n" };
        }
        if (request.requestLine.starts_with("POST /move")) {
            atOrder();
            ordered = true;
            if (lostMoveAnswers > 0) {
                --lostMoveAnswers;
                return { {}, ScriptedAnswer::Then::Close };
            }
            return { moveAnswer, ScriptedAnswer::Then::KeepOpen, [] {}, endlessMoveAnswer };
        }
        if (!answerNext.empty()) {
            return { answerNext };
        }
        if (request.headers.contains("x-memory-from")) {
            continuedFrom = request.headers.at("x-memory-from");
            continuedAt = engines[request.headers.at("x-expected-upstream") == "u0" ? 0 : 1]->address();
            if (refusing || refusals > 0) {
                refusals -= refusals > 0 ? 1 : 0;
                return { notRunAnswer };
            }
            const unsigned last = static_cast<unsigned>(std::stoi(request.headers.at("last-event-id")));
            return stream(request, last + 1 - eventsRepeated, 6);
        }
        if (refuseStarts > 0) {
            --refuseStarts;
            return { notRunAnswer };
        }
        if (request.headers.contains("last-event-id")) {
            return stream(request, 4, 6);
        }
        running = request.headers.at("x-expected-upstream") == "u0" ? 0 : 1;
        const std::string begin
            = endsWithConnection ? openStreamHead(idOf(request)) + events(1, 3) : streamHead(idOf(request)) + eventChunk(1, 3);
        return { begin, ScriptedAnswer::Then::Close, [this] { eventually([this] { return ordered || released; }); } };
    }

    /// Returns a whole stream of the given events.
    ScriptedAnswer stream(const SeenRequest &request, unsigned first, unsigned last) const
    {
        if (endsWithConnection) {
            return { openStreamHead(idOf(request)) + events(first, last), ScriptedAnswer::Then::Close };
        }
        return { streamHead(idOf(request)) + eventChunk(first, last) + lastChunk };
    }
};

} // namespace Portpaddle
