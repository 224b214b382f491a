// SPDX-FileCopyrightText: 2026 portpaddle contributors
// SPDX-License-Identifier: Apache-2.0

/// Splits a stream into server-sent events, forwards only complete events and counts tokens.
#pragma once

#include "portpaddle/interfaces/answer_sink.h"

#include <string>
#include <string_view>

namespace Portpaddle {

/// Forwards complete events to another sink. The token count is kept when a stream breaks off and is resumed.
class TokenStream
{
public:
    explicit TokenStream(AnswerSink &receiver, unsigned tokensSoFar = 0);

    /// Forwards the head only once, also when the stream is resumed from another upstream.
    bool head(const AnswerHead &head);
    /// Accepts bytes of the current attempt. Returns false if the receiver is gone or an event exceeds the maximum size.
    bool data(std::string_view bytes);
    /// Discards an incomplete event before the next attempt.
    void restart();

    /// Returns the number of tokens forwarded, including those that the caller received before this stream.
    unsigned tokens() const;
    /// Whether the head was forwarded.
    bool started() const;
    /// Whether the closing event was forwarded.
    bool finished() const;

private:
    bool forwardEvent(std::string_view event);

    AnswerSink &receiver_;
    std::string partial_;
    unsigned tokens_;
    bool headSent_ = false;
    bool finished_ = false;
};

} // namespace Portpaddle
