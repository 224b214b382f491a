// SPDX-FileCopyrightText: 2026 portpaddle contributors
// SPDX-License-Identifier: Apache-2.0

/// News to be passed on: each item is told a bounded number of times, the least told first, within a budget of bytes.
#pragma once

#include "portpaddle/membership/gossip_message.h"

#include <map>
#include <string>
#include <variant>

namespace Portpaddle {

/// How large a message may become by items of each kind, in bytes.
struct FillLimits
{
    std::size_t members = 0;
    std::size_t others = 0;
};

/// Holds the newest item of each subject.
class GossipItems
{
public:
    using Payload = std::variant<MemberUpdate, UpstreamDigest, DataCentreSummary, DemandReport>;

    /// Adds or replaces the item about the payload's subject, to be told @p times.
    void add(const Payload &payload, unsigned times);
    /// Adds items to @p message up to @p limits; what belongs to a data centre stays in it.
    void fill(GossipMessage &message, const FillLimits &limits, bool sameDataCentre);
    bool hasMemberNews() const;
    std::size_t size() const;

private:
    struct Item
    {
        Payload payload;
        unsigned left = 0;
        unsigned told = 0;
        /// Among items told equally often the one added first goes first.
        std::uint64_t order = 0;
    };

    std::map<std::string, Item> items_;
    std::uint64_t added_ = 0;
};

/// About how many bytes a message takes before any item.
std::size_t emptyMessageSize(const GossipMessage &message);

} // namespace Portpaddle
