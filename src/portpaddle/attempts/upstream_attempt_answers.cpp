// SPDX-FileCopyrightText: 2026 portpaddle contributors
// SPDX-License-Identifier: Apache-2.0

// Answers that are not streams: held until they are complete, or passed on as they arrive where there is no memory to hold them.

#include "portpaddle/attempts/upstream_attempt.h"
#include "portpaddle/net/answer_framing.h"
#include "portpaddle/net/http_status.h"
#include "portpaddle/net/peer_bounds.h"

#include <utility>

namespace Portpaddle {

namespace http = boost::beast::http;

namespace {

AttemptReport endlessAnswer()
{
    return failedAttempt(AttemptEnd::Broken, ErrorCode::UpstreamFailed, "the answer has no end within its bounds");
}

/// Whether the status implies that the request did not run. Without the header that proves it, this is not believed.
bool impliesNotRun(unsigned status)
{
    return status == HttpStatus::requestTimeout || status == HttpStatus::misdirected || status == HttpStatus::tooMany
        || status == HttpStatus::unavailable;
}

} // namespace

Task<AttemptReport> UpstreamAttempt::readWholeAnswer(Parser &parser, const AttemptCallbacks &callbacks)
{
    NetError error;
    MemoryShare memory(&answerMemory_);
    const bool failed = !HttpStatus::isSuccess(parser.get().result_int());
    std::optional<ConnectionTimeout> timeout;
    if (failed) {
        timeout.emplace(*connection_, PeerBounds::failureTime);
    }
    while (!parser.is_done()) {
        co_await readMore(*connection_, parser, error);
        if (error) {
            tooSlow_ = tooSlow_ || !connection_->socket.is_open();
            co_return brokenConnection("the answer was cut off: " + error.message());
        }
        callbacks.bytesReceived();
        const std::size_t length = parser.get().body().size();
        if (length > (failed ? PeerBounds::failureBytes : PeerBounds::wholeAnswerBytes) && (failed || !parser.content_length())) {
            co_return endlessAnswer();
        }
        if (parser.get().body().size() > PeerBounds::wholeAnswerBytes || !memory.growTo(parser.get().body().size())) {
            memory.release();
            if (interrupted_) {
                co_return brokenConnection("the answer was given up");
            }
            co_return co_await passOn(parser);
        }
    }
    co_return evaluateWholeAnswer(parser, std::move(memory));
}

// Holding the answer back would only let another attempt follow if this one breaks. Without memory for that, the caller's pace
// bounds what is read from the upstream.
Task<AttemptReport> UpstreamAttempt::passOn(Parser &parser)
{
    progress_.begun = true;
    http::fields fields = fieldsForCaller(parser);
    bool taken = co_await writer_.begin(parser.get().result_int(), std::move(fields));
    NetError error;
    std::size_t passedOn = 0;
    while (taken) {
        const std::string bytes = std::move(parser.get().body());
        parser.get().body().clear();
        passedOn += bytes.size();
        taken = co_await writer_.writeChunk(bytes);
        if (passedOn > PeerBounds::wholeAnswerBytes && !parser.content_length()) {
            co_return endlessAnswer();
        }
        if (error) {
            co_return brokenConnection("the answer was cut off: " + error.message());
        }
        if (taken && parser.is_done()) {
            AttemptReport report;
            report.sent = true;
            co_return report;
        }
        if (taken) {
            co_await readMore(*connection_, parser, error);
        }
    }
    co_return failedAttempt(AttemptEnd::ReceiverGone, ErrorCode::Cancelled, "the caller disconnected");
}

// The length of a body that is framed anew belongs to one connection. That of a body that is not sent, as in the answer to HEAD,
// is a fact about the resource.
http::fields UpstreamAttempt::fieldsForCaller(const Parser &parser) const
{
    http::fields fields = forwardableFields(head_);
    const boost::optional<std::uint64_t> length = parser.content_length();
    if (length && !hasBody(request_.message.method(), parser.get().result_int())) {
        fields.set(http::field::content_length, std::to_string(*length));
    }
    if (relayReport_) {
        setRelayReport(fields, *relayReport_);
    }
    return fields;
}

std::optional<AttemptReport> UpstreamAttempt::rejectionOf(const Parser &parser) const
{
    const http::fields &fields = parser.get();
    const unsigned status = parser.get().result_int();
    if (HttpStatus::isSuccess(status) && (!isSigned(fields, names_) || !fields[http::field::content_encoding].empty())) {
        return failedAttempt(AttemptEnd::Broken, ErrorCode::UpstreamFailed, "the answer has no valid signature or is encoded");
    }
    if (impliesNotRun(status)) {
        return failedAttempt(AttemptEnd::Broken, ErrorCode::UpstreamFailed,
                             "refusal without proof that the request did not run, status " + std::to_string(status));
    }
    return std::nullopt;
}

/// Turns a complete answer into a report; an answer that must not reach the caller becomes a failure.
AttemptReport UpstreamAttempt::evaluateWholeAnswer(Parser &parser, MemoryShare memory) const
{
    const unsigned status = parser.get().result_int();
    AttemptReport report;
    report.sent = true;
    WholeAnswer answer;
    answer.status = status;
    answer.fields = fieldsForCaller(parser);
    answer.body = std::move(parser.get().body());
    answer.memory = std::move(memory);
    report.bufferedAnswer = std::move(answer);
    report.end = status >= 500 ? AttemptEnd::Broken : AttemptEnd::Complete;
    if (status >= 500) {
        report.error
            = Error{ ErrorCode::UpstreamFailed, "upstream answered " + std::to_string(status), RunState::MayHaveRun, {} };
    }
    return report;
}

} // namespace Portpaddle
