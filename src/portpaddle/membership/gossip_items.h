// SPDX-FileCopyrightText: 2026 portpaddle contributors
// SPDX-License-Identifier: Apache-2.0

/// Items queued for gossip: each is sent a bounded number of times, the least sent first, within a byte limit per message.
#pragma once

#include "portpaddle/membership/gossip_message.h"

#include <map>
#include <string>
#include <variant>

namespace Portpaddle {

/// Sizes up to which items of each kind may fill a message, in bytes.
struct FillLimits
{
    std::size_t members = 0;
    std::size_t others = 0;
};

/// Keeps the newest item of each subject until it was sent often enough.
class GossipItems
{
public:
    using Payload = std::variant<MemberUpdate, UpstreamDigest, DataCentreSummary, DemandReport>;

    /// Adds or replaces the item about the payload's subject; the item is dropped after @p times transmissions.
    void add(const Payload &payload, unsigned times);
    /// Adds items to @p message up to @p limits. Items confined to the local data centre are left out unless @p sameDataCentre.
    void fill(GossipMessage &message, const FillLimits &limits, bool sameDataCentre);
    bool hasMemberUpdates() const;
    std::size_t size() const;

private:
    struct Item
    {
        Payload payload;
        unsigned sendsLeft = 0;
        unsigned sent = 0;
        /// Among items sent equally often the one added first goes first.
        std::uint64_t order = 0;
    };

    std::map<std::string, Item> items_;
    std::uint64_t added_ = 0;
};

/// Estimates the encoded size of a message that holds member updates and no other items, in bytes.
std::size_t estimatedMessageSize(const GossipMessage &message);

} // namespace Portpaddle
