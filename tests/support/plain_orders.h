// SPDX-FileCopyrightText: 2026 portpaddle contributors
// SPDX-License-Identifier: Apache-2.0

/// Orders to engines in a format that only the tests use.
#pragma once

#include "portpaddle/streams/upstream_orders.h"

namespace Portpaddle {

/// Expects an answer to a move that consists of the name of the memory alone.
class PlainOrders : public UpstreamOrders
{
public:
    HttpRequest copy(const std::string &requestId, const std::string &targetAddress) const override
    {
        return order("/copy", requestId, targetAddress);
    }

    HttpRequest freeCopy(const std::string &handle) const override
    {
        return order("/free", {}, handle);
    }

    HttpRequest stopAndMove(const std::string &requestId, const std::string &targetAddress) const override
    {
        return order("/move", requestId, targetAddress);
    }

    std::optional<RunMemory> memoryIn(unsigned status, const std::string &body) const override
    {
        return body.empty() ? std::nullopt : std::optional(RunMemory{ body, status != 200 });
    }

    bool deniesRun(unsigned status) const override
    {
        return status == 404;
    }

private:
    static HttpRequest order(const char *path, const std::string &requestId, const std::string &body)
    {
        HttpRequest message(boost::beast::http::verb::post, path, 11);
        message.set(boost::beast::http::field::host, "engine");
        message.set("X-Request-Id", requestId);
        message.body() = body;
        return message;
    }
};

} // namespace Portpaddle
