// SPDX-FileCopyrightText: 2026 portpaddle contributors
// SPDX-License-Identifier: Apache-2.0

/// Splits a stream of server-sent events so that only whole events go on and tokens are counted.
#pragma once

#include "portpaddle/interfaces/answer_sink.h"

#include <string>
#include <string_view>

namespace Portpaddle {

/// Passes whole events to another sink; what it counted survives the break of a stream.
class TokenStream
{
public:
    explicit TokenStream(AnswerSink &receiver, unsigned tokensSoFar = 0);

    /// The head goes on once only, also when the stream is resumed elsewhere.
    bool head(const AnswerHead &head);
    /// Takes bytes of the present attempt.
    bool data(std::string_view bytes);
    /// Forgets an unfinished event before another attempt goes on.
    void restart();

    /// Tokens passed on, those before this daemon's part included.
    unsigned tokens() const;
    /// Whether anything reached the receiver.
    bool started() const;
    /// Whether the closing event was passed on.
    bool finished() const;

private:
    bool passEvent(std::string_view event);

    AnswerSink &receiver_;
    std::string partial_;
    unsigned tokens_;
    bool headSent_ = false;
    bool finished_ = false;
};

} // namespace Portpaddle
