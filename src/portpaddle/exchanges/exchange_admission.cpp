// SPDX-FileCopyrightText: 2026 portpaddle contributors
// SPDX-License-Identifier: Apache-2.0

// Checks before an exchange looks for a target: a configuration, a route, and an organisation that may use the route.

#include "portpaddle/base/metrics.h"
#include "portpaddle/exchanges/exchange.h"
#include "portpaddle/net/beast_text.h"
#include "portpaddle/net/elapsed.h"
#include "portpaddle/net/http_status.h"

#include <fmt/format.h>

#include <algorithm>

namespace Portpaddle {

namespace {

constexpr Millis configurationPollInterval{ 20 };
constexpr Millis retryAfterBeforeConfiguration{ 500 };
// The sender needs most of the request's time to have it run elsewhere.
constexpr int catchUpDivisor = 4;
// Below every chance that draws a new version unless it receives all requests.
constexpr double retryVersionChance = 0.999'999;

Counter limitCounter(Urgency urgency, bool admitted)
{
    switch (urgency) {
    case Urgency::Urgent:
        return admitted ? Counter::LimitAdmittedUrgent : Counter::LimitRefusedUrgent;
    case Urgency::Usual:
        return admitted ? Counter::LimitAdmittedUsual : Counter::LimitRefusedUsual;
    case Urgency::Patient:
    case Urgency::Late:
        break;
    }
    return admitted ? Counter::LimitAdmittedPatient : Counter::LimitRefusedPatient;
}

} // namespace

Task<bool> Exchange::awaitConfiguration()
{
    while ((!gateway_.view()->services || wasAcceptedUnderNewer()) && elapsedSince(request_.receivedAt) < configurationWait()
           && interruption_ == Interruption::None) {
        if (wasAcceptedUnderNewer()) {
            gateway_.catchUpWith(*request_.acceptedUnder);
        }
        NetError ignored;
        pollTimer_.expires_after(configurationPollInterval);
        co_await pollTimer_.async_wait(awaitingInto(ignored));
    }
    co_return gateway_.view()->services != nullptr;
}

Millis Exchange::configurationWait() const
{
    if (!gateway_.view()->services) {
        return gateway_.options_.configurationWait;
    }
    const Millis bound = gateway_.options_.catchUpWait;
    return request_.timeLeft ? std::min(bound, *request_.timeLeft / catchUpDivisor) : bound;
}

// A run that goes on from a copy of its memory was placed when it began, and the copy is freed soon.
bool Exchange::wasAcceptedUnderNewer() const
{
    return request_.acceptedUnder && !request_.continuation && request_.acceptedUnder->version > gateway_.configurationVersion();
}

Task<bool> Exchange::findRoute()
{
    const bool configured = co_await awaitConfiguration();
    services_ = gateway_.view()->services;
    if (!configured) {
        co_await refuse(ErrorCode::Stopping, "no configuration has been received yet", retryAfterBeforeConfiguration);
        co_return false;
    }
    if (wasAcceptedUnderNewer()) {
        co_await refuse(ErrorCode::PeerUnreachable, "accepted under a newer configuration than this daemon could get",
                        retryAfterBeforeConfiguration);
        co_return false;
    }
    if (request_.id.empty()) {
        co_await fail(HttpStatus::badRequest, "the request has no id");
        co_return false;
    }
    const std::string_view target = viewOf(request_.message.target());
    route_ = services_->find(request_.host, target.substr(0, target.find('?')));
    if (route_ == nullptr) {
        co_await fail(HttpStatus::notFound, "no route matches this host and path");
        co_return false;
    }
    const bool stays = std::any_of(route_->services.begin(), route_->services.end(),
                                   [this](const WeightedService &entry) { return entry.service == service_; });
    if (!stays) {
        service_ = route_->serviceFor(request_.streamHash());
        sharedParts_.reset();
    }
    co_return co_await findOrganisation();
}

Task<bool> Exchange::findOrganisation()
{
    const OrganisationTable &organisationTable = services_->organisations;
    // The daemon that received the request from its caller has checked the key, which is not forwarded.
    organisation_ = request_.relayed
        ? organisationTable.findByName(request_.organisation)
        : organisationTable.findByAuthorization(viewOf(request_.message[gateway_.names_.authorization]));
    organisationName_ = organisation_ != nullptr ? organisation_->name : request_.organisation;
    if (!organisationTable.empty() && !route_->isPublic && organisationName_.empty()) {
        if (request_.relayed) {
            co_await refuse(ErrorCode::Unauthenticated, "the forwarding daemon named no organisation", suggestedRetryAfter());
        } else {
            co_await fail(HttpStatus::unauthorized, "the key belongs to no organisation");
        }
        co_return false;
    }
    if (hasNoAllowedRegion()) {
        co_await refuse(ErrorCode::ResidencyForbids, "no region may serve both the route and the organisation",
                        suggestedRetryAfter());
        co_return false;
    }
    co_return true;
}

Task<bool> Exchange::admitByLimit()
{
    if (request_.relayed || organisation_ == nullptr) {
        co_return true;
    }
    const OrganisationLimit &limit = organisation_->limit;
    const double units = limit.costOf(double(request_.prompt.promptTokens) + request_.prompt.maxTokensOut);
    const Urgency urgency = services_->urgencyOfRoute(*route_);
    const auto wall = std::chrono::system_clock::now().time_since_epoch();
    const LimitAsk ask{ units, urgency, timeLeft(),
                        admissionChance(request_.contentHash(), std::chrono::duration_cast<Millis>(wall)) };
    const std::optional<Millis> back
        = gateway_.organisationLimits_.admit(*organisation_, ask, BootClock::now(), gateway_.random_);
    if (limit.isSet()) {
        gateway_.metrics_.count(limitCounter(urgency, !back));
    }
    if (back) {
        co_await refuse(ErrorCode::LimitReached,
                        fmt::format("the limit of {} {} per second is exhausted; {:.0f} % of the {} demand is admitted",
                                    limit.perSecond, nameOf(limit.unit),
                                    100 * gateway_.organisationLimits_.admittedPart(organisation_->name, urgency),
                                    nameOf(urgency)),
                        *back);
        co_return false;
    }
    countedUnits_ = units;
    co_return true;
}

bool Exchange::hasNoAllowedRegion() const
{
    if (organisation_ == nullptr || organisation_->homeRegions.empty() || route_->homeRegions.empty()) {
        return false;
    }
    return std::none_of(route_->homeRegions.begin(), route_->homeRegions.end(),
                        [this](const std::string &region) { return organisation_->allowsRegion(region); });
}

Task<bool> Exchange::passesQuarantine()
{
    if (!isRequestQuarantined()) {
        co_return true;
    }
    gateway_.metrics_.count(Counter::QuarantineRefusals);
    co_await refuse(ErrorCode::EndsUpstreams,
                    fmt::format("{}: upstreams crashed while running requests with this path, caller and body, "
                                "or with a part of this prompt",
                                sends_ == 0 ? "not sent" : "not sent again"),
                    quarantineTime);
    co_return false;
}

RequestPriority Exchange::priority() const
{
    return ServiceMap::priorityOf(*route_, organisation_);
}

Gateway::ChoiceContext Exchange::choiceContext() const
{
    Gateway::ChoiceContext context{
        *route_,     organisation_,      services_->priorities().urgencyOf(priority()), service_, tried_, deadline_,
        eventsSeen_, latestPredictedEnd_
    };
    context.versionRule = gateway_.rollouts_.rule(service_);
    context.ranAt = ranAt_;
    context.streamVersion = progress_.version;
    context.beginsStream = route_->kind == RouteKind::Stream && route_->resumable;
    // Only the first attempt may try a new version: a caller that met its fault is better served by an older one.
    context.arm = drawArm(context.versionRule, askedTargets_.empty() ? versionChance_ : retryVersionChance);
    return context;
}

} // namespace Portpaddle
