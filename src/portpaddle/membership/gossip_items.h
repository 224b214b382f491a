// SPDX-FileCopyrightText: 2026 portpaddle contributors
// SPDX-License-Identifier: Apache-2.0

/// News to be passed on: each item is told a bounded number of times, the least told first, within a budget of bytes.
#pragma once

#include "portpaddle/membership/gossip_message.h"

#include <map>
#include <string>
#include <variant>

namespace Portpaddle {

/// Holds the newest item of each subject.
class GossipItems
{
public:
    using Payload = std::variant<MemberUpdate, UpstreamDigest, ServiceSummary, DemandReport>;

    /// Adds or replaces the item about the payload's subject, to be told @p times.
    void add(const Payload &payload, unsigned times);
    /// Adds items to @p message up to @p byteLimit; what belongs to a data centre stays in it.
    void fill(GossipMessage &message, std::size_t byteLimit, bool sameDataCentre);
    std::size_t size() const;

private:
    struct Item
    {
        Payload payload;
        unsigned left = 0;
        unsigned told = 0;
    };

    std::map<std::string, Item> items_;
};

/// About how many bytes a message takes before any item.
std::size_t emptyMessageSize(const GossipMessage &message);

} // namespace Portpaddle
