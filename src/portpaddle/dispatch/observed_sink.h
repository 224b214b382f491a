// SPDX-FileCopyrightText: 2026 portpaddle contributors
// SPDX-License-Identifier: Apache-2.0

/// The way of an answer from the attempts of a call to its receiver.
#pragma once

#include "portpaddle/dispatch/token_stream.h"
#include "portpaddle/interfaces/attempt_target.h"
#include "portpaddle/interfaces/clock.h"

#include <algorithm>
#include <functional>
#include <optional>
#include <string>

namespace Portpaddle {

/// Forwards an answer to the receiver, records whether any of it was sent, and counts the tokens of streams.
class ObservedSink : public AnswerSink
{
public:
    ObservedSink(AnswerSink &receiver, const Call &call, const Clock &clock, std::function<void()> onFirstByte)
        : receiver_(receiver)
        , stream_(receiver, call.resumeFrom)
        , streamed_(call.streamed)
        , clock_(clock)
        , deadline_(call.facts.deadline)
        , isForwarded_(!call.facts.visited.empty())
        , onFirstByte_(std::move(onFirstByte))
        , streamVersion_(call.facts.streamVersion)
    {
    }

    bool head(const AnswerHead &head) override
    {
        passThrough_ = passThrough_ || !streamed_ || head.status != okStatus;
        started_ = true;
        if (!streamed_) {
            return receiver_.head(head);
        }
        attemptVersion_ = upstreamVersion_ ? upstreamVersion_ : versionIn(head);
        return stream_.head(headForReceiver(head));
    }

    bool data(std::string_view bytes) override
    {
        if (!receivedData_) {
            receivedData_ = true;
            streamVersion_ = streamVersion_ ? streamVersion_ : attemptVersion_;
            onFirstByte_();
        }
        pastDeadline_ = clock_.monotonic() >= deadline_;
        if (pastDeadline_) {
            return false;
        }
        return passThrough_ ? receiver_.data(bytes) : stream_.data(bytes);
    }

    bool receiverGone() const override
    {
        return receiver_.receiverGone();
    }

    void onReceiverGone(std::function<void()> hook) override
    {
        receiver_.onReceiverGone(std::move(hook));
    }

    /// Begins an attempt at an upstream of @p upstreamVersion; no value if another daemon names the version in its answer.
    void restart(std::optional<std::string> upstreamVersion)
    {
        upstreamVersion_ = std::move(upstreamVersion);
        stream_.restart();
    }

    /// Returns the version that began the stream; no value before its first bytes, or if it is not known.
    const std::optional<std::string> &streamVersion() const
    {
        return streamVersion_;
    }

    /// Whether the receiver has bytes of a stream.
    bool hasBegunStream() const
    {
        return streamed_ && receivedData_;
    }

    bool started() const
    {
        return started_;
    }

    /// Whether the answer is complete: a stream only with its closing event, any other answer as its transport reports it.
    bool isComplete() const
    {
        return passThrough_ || stream_.finished();
    }

    /// Whether the answer was cut off because its deadline passed.
    bool isPastDeadline() const
    {
        return pastDeadline_;
    }

    unsigned tokens() const
    {
        return stream_.tokens();
    }

private:
    static constexpr int okStatus = 200;

    static std::optional<std::string> versionIn(const AnswerHead &head)
    {
        const auto field = std::find_if(head.headers.begin(), head.headers.end(),
                                        [](const HeaderField &one) { return one.name == streamVersionField; });
        return field == head.headers.end() ? std::nullopt : std::optional(field->value);
    }

    /// Names the version to another daemon, and not to a caller.
    AnswerHead headForReceiver(const AnswerHead &head) const
    {
        AnswerHead result = head;
        std::erase_if(result.headers, [](const HeaderField &field) { return field.name == streamVersionField; });
        if (isForwarded_ && attemptVersion_) {
            result.headers.push_back({ streamVersionField, *attemptVersion_ });
        }
        return result;
    }

    AnswerSink &receiver_;
    TokenStream stream_;
    const bool streamed_;
    const Clock &clock_;
    const Millis deadline_;
    /// The receiver is another daemon.
    const bool isForwarded_;
    std::function<void()> onFirstByte_;
    /// The versions of the attempt's upstream, of the attempt in progress, and of the stream.
    std::optional<std::string> upstreamVersion_;
    std::optional<std::string> attemptVersion_;
    std::optional<std::string> streamVersion_;
    bool pastDeadline_ = false;
    bool passThrough_ = false;
    bool started_ = false;
    bool receivedData_ = false;
};

} // namespace Portpaddle
