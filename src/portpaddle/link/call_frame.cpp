// SPDX-FileCopyrightText: 2026 portpaddle contributors
// SPDX-License-Identifier: Apache-2.0

#include "portpaddle/link/call_frame.h"

#include <algorithm>

namespace Portpaddle {

namespace {

std::vector<std::unique_ptr<Wire::HeaderT>> toWire(const std::vector<HeaderField> &fields)
{
    std::vector<std::unique_ptr<Wire::HeaderT>> result;
    for (const HeaderField &field : fields) {
        auto header = std::make_unique<Wire::HeaderT>();
        header->name = field.name;
        header->value = field.value;
        result.push_back(std::move(header));
    }
    return result;
}

std::vector<HeaderField> fromWire(const std::vector<std::unique_ptr<Wire::HeaderT>> &headers)
{
    std::vector<HeaderField> result;
    for (const auto &header : headers) {
        result.push_back(HeaderField{ header->name, header->value });
    }
    return result;
}

constexpr std::string_view idempotencyHeader = "Idempotency-Key";

} // namespace

Wire::OpenRequestT openFrame(const Call &call, const RequestPolicy &policy, std::uint64_t settingsVersion, Millis timeLeft)
{
    Wire::OpenRequestT frame;
    frame.request_id = call.facts.requestId;
    frame.organisation = call.facts.organisation;
    frame.service = call.facts.service;
    frame.method = call.method;
    frame.path = call.path;
    frame.headers = toWire(call.headers);
    if (!call.idempotencyKey.empty()) {
        auto header = std::make_unique<Wire::HeaderT>();
        header->name = idempotencyHeader;
        header->value = call.idempotencyKey;
        frame.headers.push_back(std::move(header));
    }
    if (call.facts.streamVersion) {
        auto header = std::make_unique<Wire::HeaderT>();
        header->name = streamVersionField;
        header->value = *call.facts.streamVersion;
        frame.headers.push_back(std::move(header));
    }
    frame.body.assign(call.body.begin(), call.body.end());
    frame.visited = call.facts.visited;
    frame.residency = policy.residency;
    frame.settings_version = settingsVersion;
    frame.remaining_ms = static_cast<std::uint64_t>(std::max<std::int64_t>(0, timeLeft.count()));
    frame.prefix_hash = call.facts.prefixHash;
    frame.prompt_tokens = call.facts.promptTokens;
    frame.expected_tokens = call.facts.expectedTokens;
    frame.resume_from = call.resumeFrom;
    frame.streamed = call.streamed;
    frame.at_most_once = call.atMostOnce;
    return frame;
}

Call callFromFrame(const Wire::OpenRequestT &frame, Millis now)
{
    // A peer cannot set a longer deadline than the settings allow: one day.
    constexpr std::uint64_t maxRemainingMs = 86'400'000;
    Call call;
    call.method = frame.method;
    call.path = frame.path;
    call.headers = fromWire(frame.headers);
    for (const HeaderField &field : call.headers) {
        if (field.name == idempotencyHeader) {
            call.idempotencyKey = field.value;
        } else if (field.name == streamVersionField) {
            call.facts.streamVersion = field.value;
        }
    }
    std::erase_if(call.headers,
                  [](const HeaderField &field) { return field.name == idempotencyHeader || field.name == streamVersionField; });
    call.body.assign(frame.body.begin(), frame.body.end());
    call.streamed = frame.streamed;
    call.atMostOnce = frame.at_most_once;
    // The forwarding daemon holds the claim; this daemon receives a single frame and sends the request once.
    call.claimed = true;
    call.resumeFrom = frame.resume_from;
    call.facts.requestId = frame.request_id;
    call.facts.organisation = frame.organisation;
    call.facts.service = frame.service;
    call.facts.prefixHash = frame.prefix_hash;
    call.facts.promptTokens = frame.prompt_tokens;
    call.facts.expectedTokens = frame.expected_tokens;
    call.facts.visited = frame.visited;
    call.facts.arrivedAt = now;
    call.facts.deadline = now + Millis{ std::min(frame.remaining_ms, maxRemainingMs) };
    return call;
}

Wire::AnswerEndT endFrame(std::uint32_t stream, const Status &status)
{
    Wire::AnswerEndT frame;
    frame.stream = stream;
    frame.complete = isOk(status);
    if (!isOk(status)) {
        const Error &error = errorOf(status);
        frame.code = nameOf(error.code);
        frame.message = error.message;
        frame.run = static_cast<std::uint8_t>(error.run);
        frame.retry_after_ms = error.retryAfter ? static_cast<std::uint64_t>(error.retryAfter->count()) : 0;
    }
    return frame;
}

Error errorFromFrame(const Wire::AnswerEndT &frame)
{
    Error error;
    error.code = errorCodeFromName(frame.code);
    error.message = frame.message;
    // Any value but an explicit "not run" must be treated as "may have run".
    error.run = frame.run == static_cast<std::uint8_t>(RunState::NotRun) ? RunState::NotRun : RunState::MayHaveRun;
    if (frame.retry_after_ms > 0) {
        error.retryAfter = Millis{ frame.retry_after_ms };
    }
    return error;
}

Wire::AnswerHeadT headFrame(std::uint32_t stream, const AnswerHead &head)
{
    Wire::AnswerHeadT frame;
    frame.stream = stream;
    frame.status = static_cast<std::uint16_t>(head.status);
    frame.headers = toWire(head.headers);
    return frame;
}

AnswerHead headFromFrame(const Wire::AnswerHeadT &frame)
{
    return AnswerHead{ frame.status, fromWire(frame.headers) };
}

} // namespace Portpaddle
