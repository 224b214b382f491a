// SPDX-FileCopyrightText: 2026 portpaddle contributors
// SPDX-License-Identifier: Apache-2.0

#include "portpaddle/membership/fleet_figures.h"

namespace Portpaddle {

namespace {

/// A lower sequence is believed after this silence: its source was restarted.
constexpr Millis sequenceMemory{ 10'000 };
/// Demand that was not confirmed for this long while its source can be heard is over.
constexpr Millis demandMemory{ 30'000 };
constexpr std::string_view dataCentrePrefix = "dc:";

std::string demandKey(const DemandReport &report)
{
    return report.source + '/' + report.organisation;
}

bool isTotal(const std::string &source)
{
    return source.compare(0, dataCentrePrefix.size(), dataCentrePrefix) == 0;
}

} // namespace

FleetFigures::FleetFigures(std::string daemon, std::string dataCentre)
    : daemon_(std::move(daemon)), dataCentre_(std::move(dataCentre))
{
}

bool FleetFigures::take(const UpstreamDigest &digest)
{
    SeenDigest &seen = digests_[digest.key];
    const bool remembered = digest.observedAt < seen.observedAt + sequenceMemory;
    if (remembered && digest.sequence <= seen.sequence) {
        return false;
    }
    seen = SeenDigest{ digest.sequence, digest.observedAt };
    return true;
}

bool FleetFigures::take(const DataCentreSummary &summary)
{
    DataCentreSummary &known = summaries_[summary.dataCentre];
    const bool remembered = summary.observedAt < known.observedAt + sequenceMemory;
    if (!known.dataCentre.empty() && remembered && summary.sequence <= known.sequence) {
        return false;
    }
    known = summary;
    return true;
}

bool FleetFigures::take(const DemandReport &report, Millis now)
{
    HeardDemand &known = demands_[demandKey(report)];
    const bool remembered = now < known.heardAt + demandMemory;
    if (remembered && report.sequence <= known.report.sequence) {
        return false;
    }
    known = HeardDemand{ report, now };
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

DemandReport FleetFigures::nextTotal(const OwnDemand &own, Millis now)
{
    DemandReport total{ std::string(dataCentrePrefix) + dataCentre_, own.organisation, 0, own.requestsPerSecond };
    for (const auto &[key, heard] : demands_) {
        const bool counts = !isTotal(heard.report.source) && heard.report.organisation == own.organisation;
        if (counts && now < heard.heardAt + demandMemory) {
            total.requestsPerSecond += heard.report.requestsPerSecond;
        }
    }
    HeardDemand &known = demands_[demandKey(total)];
    total.sequence = known.report.sequence + 1;
    known = HeardDemand{ total, now };
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

std::vector<OthersDemand> FleetFigures::othersDemand(const std::function<bool(const std::string &dataCentre)> &isHeard,
                                                     Millis now) const
{
    const std::string ownTotal = std::string(dataCentrePrefix) + dataCentre_;
    std::vector<OthersDemand> result;
    for (const auto &[key, heard] : demands_) {
        const std::string &source = heard.report.source;
        if (source == ownTotal || source == daemon_) {
            continue;
        }
        // What a data centre asked before it was cut off goes on to count: its daemons still serve that demand.
        const bool silent = isTotal(source) && !isHeard(source.substr(dataCentrePrefix.size()));
        if (silent || now < heard.heardAt + demandMemory) {
            result.push_back(OthersDemand{ heard.report.organisation, heard.report.requestsPerSecond });
        }
    }
    return result;
}

} // namespace Portpaddle
