// SPDX-FileCopyrightText: 2026 portpaddle contributors
// SPDX-License-Identifier: Apache-2.0

// The request of an attempt: what the caller sent, without what daemons set, and with what this daemon tells its target.

#include "portpaddle/attempts/upstream_attempt.h"
#include "portpaddle/callers/connection_headers.h"
#include "portpaddle/net/beast_text.h"

namespace Portpaddle {

UpstreamAttempt::Message UpstreamAttempt::composeRequest(const AttemptPlan &plan) const
{
    const HttpRequest &original = request_.message;
    Message message;
    message.method_string(original.method_string());
    message.target(original.target());
    message.version(11);
    for (const auto &field : original) {
        const bool own = isSetByDaemons(viewOf(field.name_string()), names_);
        const bool key = plan.removesAuthorization && boost::beast::iequals(field.name_string(), names_.authorization);
        if (!own && !key && !isHopByHop(field.name(), viewOf(field.name_string()), original)) {
            message.insert(field.name(), field.name_string(), field.value());
        }
    }
    message.set(names_.timeLeft, std::to_string(plan.timeLeft.count()));
    message.set(names_.priority, std::to_string(plan.priority));
    if (!plan.organisation.empty()) {
        message.set(plan.age ? relayOrganisationHeader : names_.organisation.c_str(), plan.organisation);
    }
    if (!plan.memoryFrom.empty()) {
        message.set(names_.memoryFrom, plan.memoryFrom);
    }
    if (!plan.fetchFrom.empty()) {
        message.set(names_.memoryFetch, plan.fetchFrom);
    }
    if (plan.age) {
        message.set(relayAgeHeader, std::to_string(plan.age->count()));
        message.set(relaySendsHeader, std::to_string(plan.earlierSends));
        if (!plan.ranAt.empty()) {
            message.set(ranAtHeader, encodeUpstreamKeys(plan.ranAt));
        }
        message.set(relayEventsHeader, std::to_string(plan.eventsSeen));
        message.set(continuesHeader, "1");
    }
    if (plan.acceptedUnder) {
        message.set(configurationHeader, encodeConfigurationStamp(*plan.acceptedUnder));
    }
    if (plan.age && progress_.version) {
        message.set(streamVersionHeader, encodeVersionKey(*progress_.version));
    }
    if (plan.continuation) {
        message.set(continueAtHeader, encodeContinuation(*plan.continuation));
    }
    if (!plan.expectedUpstream.empty()) {
        message.set(names_.expectedUpstream, plan.expectedUpstream);
    }
    if (!progress_.splitter.lastId().empty()) {
        message.set(names_.lastEventId, progress_.splitter.lastId());
    }
    message.body() = boost::beast::span<const char>(original.body().data(), original.body().size());
    const bool hasBody = original.has_content_length() || original.chunked() || !original.body().empty();
    if (hasBody) {
        message.content_length(original.body().size());
    }
    return message;
}

} // namespace Portpaddle
