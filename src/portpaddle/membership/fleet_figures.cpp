// SPDX-FileCopyrightText: 2026 portpaddle contributors
// SPDX-License-Identifier: Apache-2.0

#include "portpaddle/membership/fleet_figures.h"

namespace Portpaddle {

namespace {

/// A lower sequence is accepted if the stored figure is this much older than the received one: its source was restarted.
constexpr Millis sequenceRetention{ 10'000 };
/// Demand that was not renewed for this long while its source is reachable has ended.
constexpr Millis demandRetention{ 30'000 };
constexpr std::string_view dataCentrePrefix = "dc:";

std::string demandKey(const DemandReport &report)
{
    return report.source + '/' + report.organisation;
}

bool isDataCentreTotal(const std::string &source)
{
    return source.compare(0, dataCentrePrefix.size(), dataCentrePrefix) == 0;
}

} // namespace

FleetFigures::FleetFigures(std::string daemon, std::string dataCentre)
    : daemon_(std::move(daemon)), dataCentre_(std::move(dataCentre))
{
}

bool FleetFigures::storeIfNewer(const UpstreamDigest &digest)
{
    SeenDigest &seen = digests_[digest.key];
    const bool isRetained = digest.observedAt < seen.observedAt + sequenceRetention;
    if (isRetained && digest.sequence <= seen.sequence) {
        return false;
    }
    seen = SeenDigest{ digest.sequence, digest.observedAt };
    return true;
}

bool FleetFigures::storeIfNewer(const DataCentreSummary &summary)
{
    DataCentreSummary &known = summaries_[summary.dataCentre];
    const bool isRetained = summary.observedAt < known.observedAt + sequenceRetention;
    if (!known.dataCentre.empty() && isRetained && summary.sequence <= known.sequence) {
        return false;
    }
    known = summary;
    return true;
}

bool FleetFigures::storeIfNewer(const DemandReport &report, Millis now)
{
    ReceivedDemand &known = demands_[demandKey(report)];
    const bool isRetained = now < known.receivedAt + demandRetention;
    if (isRetained && report.sequence <= known.report.sequence) {
        return false;
    }
    known = ReceivedDemand{ report, now };
    return true;
}

DataCentreSummary FleetFigures::nextSummary(const std::vector<SummaryEntry> &entries, Millis now)
{
    DataCentreSummary &known = summaries_[dataCentre_];
    DataCentreSummary summary{ dataCentre_, known.sequence + 1, now, {} };
    for (const SummaryEntry &entry : entries) {
        const auto versionAt
            = [&](std::size_t index) { return index < entry.versions.size() ? shortKey(entry.versions[index]) : 0; };
        summary.services.push_back(
            ServiceFigures{ shortKey(entry.service), versionAt(0), versionAt(1), entry.capacity, entry.busy, entry.queued });
    }
    known = summary;
    return summary;
}

DemandReport FleetFigures::ownDemand(const OwnDemand &own, std::uint64_t sequence) const
{
    return DemandReport{ daemon_, own.organisation, sequence, own.requestsPerSecond };
}

DemandReport FleetFigures::nextDemandTotal(const OwnDemand &own, Millis now)
{
    DemandReport total{ std::string(dataCentrePrefix) + dataCentre_, own.organisation, 0, own.requestsPerSecond };
    for (const auto &[key, received] : demands_) {
        const bool counts = !isDataCentreTotal(received.report.source) && received.report.organisation == own.organisation;
        if (counts && now < received.receivedAt + demandRetention) {
            total.requestsPerSecond += received.report.requestsPerSecond;
        }
    }
    ReceivedDemand &known = demands_[demandKey(total)];
    total.sequence = known.report.sequence + 1;
    known = ReceivedDemand{ total, now };
    return total;
}

const std::map<std::string, DataCentreSummary> &FleetFigures::summaries() const
{
    return summaries_;
}

Millis FleetFigures::summaryAt(const std::string &dataCentre) const
{
    const auto found = summaries_.find(dataCentre);
    return found == summaries_.end() ? Millis{ 0 } : found->second.observedAt;
}

std::vector<OthersDemand> FleetFigures::othersDemand(const std::function<bool(const std::string &dataCentre)> &isReachable,
                                                     Millis now) const
{
    const std::string ownTotal = std::string(dataCentrePrefix) + dataCentre_;
    std::vector<OthersDemand> result;
    for (const auto &[key, received] : demands_) {
        const std::string &source = received.report.source;
        if (source == ownTotal || source == daemon_) {
            continue;
        }
        // The last demand of an unreachable data centre stays included: its daemons still serve that demand.
        const bool isUnreachable = isDataCentreTotal(source) && !isReachable(source.substr(dataCentrePrefix.size()));
        if (isUnreachable || now < received.receivedAt + demandRetention) {
            result.push_back(OthersDemand{ received.report.organisation, received.report.requestsPerSecond });
        }
    }
    return result;
}

} // namespace Portpaddle
