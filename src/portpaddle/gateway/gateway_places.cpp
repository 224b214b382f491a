// SPDX-FileCopyrightText: 2026 portpaddle contributors
// SPDX-License-Identifier: Apache-2.0

// What the gateway knows of brittle services, and the places of its requests at their upstreams.

#include "portpaddle/gateway/gateway.h"

namespace Portpaddle {

void Gateway::noteBrittle(const UpstreamRecord &asked, const AnswerNotice &notice, SteadyTime sentAt, SteadyTime now)
{
    const bool fromAsked = notice.incarnation.empty() || notice.incarnation == asked.registeredName;
    if (!fromAsked || (!notice.fromUpstream && !notice.full)) {
        return;
    }
    const bool changed = brittleServices_.answered(asked.service, notice.brittle, notice.fromUpstream, sentAt, now);
    if (changed) {
        announceBrittleServices(now);
        confirmPlaces(now);
    }
}

void Gateway::announceBrittleServices(SteadyTime now)
{
    if (!brittleServices_.any()) {
        return;
    }
    OutgoingDigest outgoing{ {}, digestHeader() };
    outgoing.digest.kind = Wire::DigestKind::UpstreamPlaces;
    brittleServices_.addDue(outgoing.digest, now);
    if (outgoing.digest.brittle_services.empty()) {
        return;
    }
    for (const DaemonRecord &daemon : view_->daemons) {
        if (daemon.region == identity_.region && daemon.id != identity_.id) {
            outgoing.to.push_back(daemon.linkAddress);
        }
    }
    sendDigest_(outgoing);
}

void Gateway::confirmPlaces(SteadyTime now)
{
    if (!brittleServices_.any() || !view_->services) {
        return;
    }
    std::map<std::string, double> brittleUpstreams;
    for (const auto &[name, spec] : view_->services->services) {
        const std::optional<double> borne = brittleServices_.borne(name, now);
        const UpstreamSelection *local = borne ? localUpstreams(name) : nullptr;
        if (local == nullptr) {
            continue;
        }
        for (const UpstreamRecord *upstream : local->all()) {
            brittleUpstreams.emplace(upstream->id, *borne);
        }
    }
    places_.confirm(brittleUpstreams, [this](const std::string &upstream) { return loads_.running(upstream); });
}

} // namespace Portpaddle
