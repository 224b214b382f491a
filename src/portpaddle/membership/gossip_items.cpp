// SPDX-FileCopyrightText: 2026 portpaddle contributors
// SPDX-License-Identifier: Apache-2.0

#include "portpaddle/membership/gossip_items.h"

#include <algorithm>
#include <vector>

namespace Portpaddle {

namespace {

/// Measured sizes of the encoded tables without their strings; each string adds its length, a length word and padding.
constexpr std::size_t memberBytes = 60;
constexpr std::size_t digestBytes = 24;
constexpr std::size_t summaryBytes = 48;
constexpr std::size_t figuresBytes = 20;
constexpr std::size_t demandBytes = 40;
constexpr std::size_t textOverhead = 8;
constexpr std::size_t headerBytes = 110;

std::size_t sizeOf(const MemberUpdate &update)
{
    constexpr std::size_t addressLength = 16;
    return memberBytes + update.id.size() + update.region.size() + update.dataCentre.size() + 3 * addressLength
        + 6 * textOverhead;
}

std::size_t sizeOf(const UpstreamDigest &)
{
    return digestBytes;
}

std::size_t sizeOf(const DataCentreSummary &summary)
{
    return summaryBytes + summary.dataCentre.size() + textOverhead + summary.services.size() * figuresBytes;
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
    return "u/" + std::to_string(digest.key);
}

std::string subjectOf(const DataCentreSummary &summary)
{
    return "s/" + summary.dataCentre;
}

std::string subjectOf(const DemandReport &demand)
{
    return "d/" + demand.source + '/' + demand.organisation;
}

bool staysInDataCentre(const GossipItems::Payload &payload)
{
    constexpr std::string_view dataCentrePrefix = "dc:";
    const auto *demand = std::get_if<DemandReport>(&payload);
    const bool isAtOneDaemon = demand != nullptr && demand->source.compare(0, dataCentrePrefix.size(), dataCentrePrefix) != 0;
    return isAtOneDaemon || std::holds_alternative<UpstreamDigest>(payload);
}

bool isAboutMember(const GossipItems::Payload &payload)
{
    return std::holds_alternative<MemberUpdate>(payload);
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
    void operator()(const DataCentreSummary &summary) const
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
    // A replaced item keeps its place in the order, so that frequently renewed items do not starve the others.
    const auto [position, isNew] = items_.try_emplace(subject);
    const std::uint64_t order = isNew ? ++added_ : position->second.order;
    position->second = Item{ payload, times, 0, order };
}

void GossipItems::fill(GossipMessage &message, const FillLimits &limits, bool sameDataCentre)
{
    std::vector<std::map<std::string, Item>::iterator> candidates;
    for (auto item = items_.begin(); item != items_.end(); ++item) {
        if (sameDataCentre || !staysInDataCentre(item->second.payload)) {
            candidates.push_back(item);
        }
    }
    // Member updates go first: they are rare, and everything else depends on them.
    std::stable_sort(candidates.begin(), candidates.end(), [](const auto &left, const auto &right) {
        const bool leftIsMember = isAboutMember(left->second.payload);
        const bool rightIsMember = isAboutMember(right->second.payload);
        if (leftIsMember != rightIsMember) {
            return leftIsMember;
        }
        return left->second.sent != right->second.sent ? left->second.sent < right->second.sent
                                                       : left->second.order < right->second.order;
    });
    std::size_t used = estimatedMessageSize(message);
    for (const auto &candidate : candidates) {
        Item &item = candidate->second;
        const std::size_t size = std::visit([](const auto &value) { return sizeOf(value); }, item.payload);
        if (used + size > (isAboutMember(item.payload) ? limits.members : limits.others)) {
            continue;
        }
        used += size;
        std::visit(AddToMessage{ message }, item.payload);
        ++item.sent;
        if (--item.sendsLeft == 0) {
            items_.erase(candidate);
        }
    }
}

bool GossipItems::hasMemberUpdates() const
{
    return std::any_of(items_.begin(), items_.end(), [](const auto &entry) { return isAboutMember(entry.second.payload); });
}

std::size_t GossipItems::size() const
{
    return items_.size();
}

std::size_t estimatedMessageSize(const GossipMessage &message)
{
    std::size_t size = headerBytes + message.sender.size() + message.target.size();
    for (const MemberUpdate &update : message.members) {
        size += sizeOf(update);
    }
    return size;
}

} // namespace Portpaddle
