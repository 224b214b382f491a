// SPDX-FileCopyrightText: 2026 portpaddle contributors
// SPDX-License-Identifier: Apache-2.0

// What must hold before an exchange looks for a place: a configuration, a route, and somebody who may use it.

#include "portpaddle/base/metrics.h"
#include "portpaddle/gateway/exchange.h"
#include "portpaddle/net/beast_text.h"
#include "portpaddle/net/elapsed.h"
#include "portpaddle/net/http_status.h"

#include <fmt/format.h>

#include <algorithm>

namespace Portpaddle {

namespace {

constexpr Millis configurationPoll{ 20 };
constexpr Millis returnBeforeConfiguration{ 500 };

} // namespace

Task<bool> Exchange::awaitConfiguration()
{
    while (!gateway_.view()->services && elapsedSince(request_.receivedAt) < gateway_.options_.configurationWait
           && interruption_ == Interruption::None) {
        NetError ignored;
        roomTimer_.expires_after(configurationPoll);
        co_await roomTimer_.async_wait(awaitingInto(ignored));
    }
    co_return gateway_.view()->services != nullptr;
}

Task<bool> Exchange::findRoute()
{
    const bool configured = co_await awaitConfiguration();
    services_ = gateway_.view()->services;
    if (!configured) {
        co_await refuse(ErrorCode::Stopping, "no configuration is known yet", returnBeforeConfiguration);
        co_return false;
    }
    if (request_.id.empty()) {
        co_await fail(HttpStatus::badRequest, "the request has no id");
        co_return false;
    }
    const std::string_view target = viewOf(request_.message.target());
    route_ = services_->find(request_.host, target.substr(0, target.find('?')));
    if (route_ == nullptr) {
        co_await fail(HttpStatus::notFound, "no route leads there");
        co_return false;
    }
    const bool stays = std::any_of(route_->services.begin(), route_->services.end(),
                                   [this](const WeightedService &entry) { return entry.service == service_; });
    if (!stays) {
        service_ = route_->serviceFor(request_.idHash);
    }
    co_return co_await findOrganisation();
}

Task<bool> Exchange::findOrganisation()
{
    const OrganisationTable &book = services_->organisations;
    // The daemon that took the request from its caller has seen the key; it is not handed on.
    organisation_ = request_.relayed ? book.findByName(request_.organisation)
                                     : book.findByAuthorization(viewOf(request_.message[gateway_.names_.authorization]));
    organisationName_ = organisation_ != nullptr ? organisation_->name : request_.organisation;
    if (!book.empty() && !route_->isPublic && organisationName_.empty()) {
        if (request_.relayed) {
            co_await refuse(ErrorCode::Unauthenticated, "the daemon that sent it names no organisation", suggestedReturn());
        } else {
            co_await fail(HttpStatus::unauthorized, "no organisation has this key");
        }
        co_return false;
    }
    if (hasNoHome()) {
        co_await refuse(ErrorCode::ResidencyForbids, "no region may serve both the route and the organisation",
                        suggestedReturn());
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
    const std::optional<std::chrono::milliseconds> back
        = gateway_.organisationLimits_.admit(*organisation_, units, BootClock::now(), gateway_.random_);
    if (back) {
        co_await refuse(ErrorCode::LimitReached,
                        fmt::format("the limit of {} {} a second is spent; {:.0f} % of what is asked is admitted",
                                    limit.perSecond, nameOf(limit.unit),
                                    100 * gateway_.organisationLimits_.admittedPart(organisation_->name)),
                        *back);
        co_return false;
    }
    countedUnits_ = units;
    co_return true;
}

bool Exchange::hasNoHome() const
{
    if (organisation_ == nullptr || organisation_->homeRegions.empty() || route_->homeRegions.empty()) {
        return false;
    }
    return std::none_of(route_->homeRegions.begin(), route_->homeRegions.end(),
                        [this](const std::string &region) { return organisation_->allowsRegion(region); });
}

Task<bool> Exchange::passesQuarantine()
{
    if (!isHeld()) {
        co_return true;
    }
    gateway_.metrics_.count(Counter::QuarantineRefusals);
    co_await refuse(ErrorCode::EndsUpstreams, "not sent: upstreams ended while they ran requests with this path, caller and body",
                    quarantineTime);
    co_return false;
}

unsigned Exchange::priority() const
{
    return organisation_ != nullptr ? organisation_->priority.value_or(route_->priority) : route_->priority;
}

Gateway::ChoiceContext Exchange::choiceContext() const
{
    return { *route_, organisation_, services_->rankOf(priority()), service_, tried_, deadline_, eventsSeen_, overBy_ };
}

} // namespace Portpaddle
