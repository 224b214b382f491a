// SPDX-FileCopyrightText: 2026 portpaddle contributors
// SPDX-License-Identifier: Apache-2.0

#include "portpaddle/dispatch/trace_ring.h"

#include <nlohmann/json.hpp>

namespace Portpaddle {

namespace {

nlohmann::json describeOrigin(const SettingOrigin &origin)
{
    return { { "key", origin.key },
             { "value", nlohmann::json::parse(origin.value) },
             { "set_at", origin.path },
             { "version", origin.version } };
}

nlohmann::json describeCandidate(const CandidateOutcome &outcome, const Decision &decision, const RequestTrace &trace)
{
    const RoutingSnapshot &snapshot = *decision.snapshot;
    nlohmann::json json;
    if (outcome.remote) {
        const RemoteView &view = snapshot.routesOf(trace.service).remote[outcome.index];
        json = { { "data_centre", view.dataCentre }, { "region", view.region }, { "observed_at_ms", view.observedAt.count() } };
    } else {
        const UpstreamView &view = snapshot.upstreams[outcome.index];
        json = { { "upstream", view.id }, { "observed_at_ms", view.observedAt.count() } };
        if (view.leaving != LeavingSignal::None) {
            json["leaving_by"] = nameOf(view.leaving);
        }
    }
    json["result"] = nameOf(outcome.reason);
    json["wait_ms"] = outcome.waitMs;
    json["prefill_ms"] = outcome.prefillMs;
    json["score"] = outcome.score;
    const RequestPolicy &policy = snapshot.settings->policy(trace.organisation, trace.service);
    const SettingOrigin *origin = policy.originOf(settingKeyOf(outcome.reason));
    if (origin != nullptr) {
        json["because_of"] = describeOrigin(*origin);
    }
    return json;
}

nlohmann::json describeStep(const TraceStep &step, const RequestTrace &trace)
{
    const Decision &decision = step.decision;
    nlohmann::json json = { { "time_ms", step.wallMs }, { "verdict", nameOf(decision.verdict) }, { "outcome", step.outcome } };
    if (decision.verdict == Verdict::Refuse) {
        json["refusal"] = nameOf(decision.refusal);
    }
    if (!decision.snapshot) {
        return json;
    }
    json["settings_version"] = decision.snapshot->settings->version();
    json["place"] = { { "region", decision.snapshot->settings->place().region },
                      { "data_centre", decision.snapshot->settings->place().dataCentre } };
    json["candidates"] = nlohmann::json::array();
    for (const CandidateOutcome &outcome : decision.candidates) {
        json["candidates"].push_back(describeCandidate(outcome, decision, trace));
    }
    json["settings"] = nlohmann::json::array();
    for (const SettingOrigin &origin : decision.snapshot->settings->policy(trace.organisation, trace.service).origins) {
        json["settings"].push_back(describeOrigin(origin));
    }
    return json;
}

} // namespace

TraceRing::TraceRing(std::size_t capacity) : capacity_(capacity)
{
}

void TraceRing::add(RequestTrace trace)
{
    const std::lock_guard lock(mutex_);
    const std::string id = trace.requestId;
    if (traces_.count(id) == 0) {
        order_.push_back(id);
    }
    traces_[id] = std::make_shared<const RequestTrace>(std::move(trace));
    while (order_.size() > capacity_) {
        traces_.erase(order_.front());
        order_.pop_front();
    }
}

std::shared_ptr<const RequestTrace> TraceRing::find(const std::string &requestId) const
{
    const std::lock_guard lock(mutex_);
    const auto found = traces_.find(requestId);
    return found == traces_.end() ? nullptr : found->second;
}

nlohmann::json explain(const RequestTrace &trace)
{
    nlohmann::json json
        = { { "request_id", trace.requestId },       { "organisation", trace.organisation }, { "service", trace.service },
            { "prompt_tokens", trace.promptTokens }, { "visited", trace.visited },           { "outcome", trace.outcome } };
    json["steps"] = nlohmann::json::array();
    for (const TraceStep &step : trace.steps) {
        json["steps"].push_back(describeStep(step, trace));
    }
    return json;
}

} // namespace Portpaddle
