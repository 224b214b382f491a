// SPDX-FileCopyrightText: 2026 portpaddle contributors
// SPDX-License-Identifier: Apache-2.0

#include "portpaddle/membership/gossip_items.h"

#include <algorithm>
#include <vector>

namespace Portpaddle {

namespace {

/// Measured sizes of the encoded tables without their texts; each text costs its length, a length word and padding.
constexpr std::size_t memberBytes = 60;
constexpr std::size_t digestBytes = 56;
constexpr std::size_t summaryBytes = 64;
constexpr std::size_t demandBytes = 40;
constexpr std::size_t textOverhead = 8;
constexpr std::size_t messageBytes = 110;

std::size_t sizeOf(const MemberUpdate &update)
{
    constexpr std::size_t addressLength = 16;
    return memberBytes + update.id.size() + update.region.size() + update.dataCentre.size() + 3 * addressLength
        + 6 * textOverhead;
}

std::size_t sizeOf(const UpstreamDigest &digest)
{
    return digestBytes + digest.upstream.size() + textOverhead;
}

std::size_t sizeOf(const ServiceSummary &summary)
{
    std::size_t size = summaryBytes + summary.dataCentre.size() + summary.service.size() + 2 * textOverhead;
    for (const std::string &version : summary.versions) {
        size += version.size() + textOverhead + sizeof(std::uint32_t);
    }
    return size;
}

std::size_t sizeOf(const DemandReport &demand)
{
    return demandBytes + demand.source.size() + demand.organisation.size() + 2 * textOverhead;
}

std::string subjectOf(const MemberUpdate &update)
{
    return "m/" + update.id;
}

std::string subjectOf(const UpstreamDigest &digest)
{
    return "u/" + digest.upstream;
}

std::string subjectOf(const ServiceSummary &summary)
{
    return "s/" + summary.dataCentre + '/' + summary.service;
}

std::string subjectOf(const DemandReport &demand)
{
    return "d/" + demand.source + '/' + demand.organisation;
}

bool staysHome(const GossipItems::Payload &payload)
{
    constexpr std::string_view dataCentrePrefix = "dc:";
    const auto *demand = std::get_if<DemandReport>(&payload);
    const bool ofOneDaemon = demand != nullptr && demand->source.compare(0, dataCentrePrefix.size(), dataCentrePrefix) != 0;
    return ofOneDaemon || std::holds_alternative<UpstreamDigest>(payload);
}

struct AddToMessage
{
    GossipMessage &message;

    void operator()(const MemberUpdate &update) const
    {
        message.members.push_back(update);
    }
    void operator()(const UpstreamDigest &digest) const
    {
        message.upstreams.push_back(digest);
    }
    void operator()(const ServiceSummary &summary) const
    {
        message.summaries.push_back(summary);
    }
    void operator()(const DemandReport &demand) const
    {
        message.demands.push_back(demand);
    }
};

} // namespace

void GossipItems::add(const Payload &payload, unsigned times)
{
    const std::string subject = std::visit([](const auto &value) { return subjectOf(value); }, payload);
    items_[subject] = Item{ payload, times, 0 };
}

void GossipItems::fill(GossipMessage &message, std::size_t byteLimit, bool sameDataCentre)
{
    std::vector<std::map<std::string, Item>::iterator> candidates;
    for (auto item = items_.begin(); item != items_.end(); ++item) {
        if (sameDataCentre || !staysHome(item->second.payload)) {
            candidates.push_back(item);
        }
    }
    // News of members goes first: it is rare, and everything else depends on it.
    std::stable_sort(candidates.begin(), candidates.end(), [](const auto &left, const auto &right) {
        const bool leftIsMember = left->second.payload.index() == 0;
        const bool rightIsMember = right->second.payload.index() == 0;
        return leftIsMember != rightIsMember ? leftIsMember : left->second.told < right->second.told;
    });
    std::size_t used = emptyMessageSize(message);
    for (const auto &candidate : candidates) {
        Item &item = candidate->second;
        const std::size_t size = std::visit([](const auto &value) { return sizeOf(value); }, item.payload);
        if (used + size > byteLimit) {
            continue;
        }
        used += size;
        std::visit(AddToMessage{ message }, item.payload);
        ++item.told;
        if (--item.left == 0) {
            items_.erase(candidate);
        }
    }
}

std::size_t GossipItems::size() const
{
    return items_.size();
}

std::size_t emptyMessageSize(const GossipMessage &message)
{
    std::size_t size = messageBytes + message.sender.size() + message.target.size();
    for (const MemberUpdate &update : message.members) {
        size += sizeOf(update);
    }
    return size;
}

} // namespace Portpaddle
