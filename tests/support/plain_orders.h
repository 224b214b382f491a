// SPDX-FileCopyrightText: 2026 portpaddle contributors
// SPDX-License-Identifier: Apache-2.0

/// Orders to engines in a format that only the tests use.
#pragma once

#include "portpaddle/gateway/upstream_orders.h"

namespace Portpaddle {

/// Expects an answer to a move that consists of the name of the memory alone.
class PlainOrders : public UpstreamOrders
{
public:
    HttpRequest stopAndMove(const std::string &requestId, const std::string &targetAddress) const override
    {
        HttpRequest message(boost::beast::http::verb::post, "/move", 11);
        message.set(boost::beast::http::field::host, "engine");
        message.set("X-Request-Id", requestId);
        message.body() = targetAddress;
        return message;
    }

    std::optional<StoppedRun> stoppedRun(unsigned status, const std::string &body) const override
    {
        return body.empty() ? std::nullopt : std::optional(StoppedRun{ body, status != 200 });
    }
};

} // namespace Portpaddle
