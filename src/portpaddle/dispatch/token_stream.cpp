// SPDX-FileCopyrightText: 2026 portpaddle contributors
// SPDX-License-Identifier: Apache-2.0

#include "portpaddle/dispatch/token_stream.h"

namespace Portpaddle {

namespace {

constexpr std::string_view eventEnd = "\n\n";
constexpr std::string_view closingEvent = "data: [DONE]";
/// Engines put the text of one token into the content of each event; the content of the first event is empty.
constexpr std::string_view contentKey = "\"content\"";
/// Maximum size of buffered data, in bytes. No valid event is larger, so an upstream that exceeds the limit is faulty.
constexpr std::size_t maxEventBytes = 256 * 1024;

bool carriesToken(std::string_view event)
{
    constexpr std::string_view separators = " \t:";
    const std::size_t member = event.find(contentKey);
    if (member == std::string_view::npos) {
        return false;
    }
    const std::size_t value = event.find_first_not_of(separators, member + contentKey.size());
    return value != std::string_view::npos && event[value] == '"' && event.substr(value, 2) != "\"\"";
}

} // namespace

TokenStream::TokenStream(AnswerSink &receiver, unsigned tokensSoFar) : receiver_(receiver), tokens_(tokensSoFar)
{
}

bool TokenStream::head(const AnswerHead &head)
{
    if (headSent_) {
        return !receiver_.receiverGone();
    }
    headSent_ = true;
    return receiver_.head(head);
}

bool TokenStream::data(std::string_view bytes)
{
    partial_.append(bytes);
    if (partial_.size() > maxEventBytes) {
        return false;
    }
    std::size_t end = partial_.find(eventEnd);
    while (end != std::string::npos) {
        const std::size_t length = end + eventEnd.size();
        if (!forwardEvent(std::string_view(partial_).substr(0, length))) {
            return false;
        }
        partial_.erase(0, length);
        end = partial_.find(eventEnd);
    }
    return true;
}

void TokenStream::restart()
{
    partial_.clear();
}

unsigned TokenStream::tokens() const
{
    return tokens_;
}

bool TokenStream::started() const
{
    return headSent_;
}

bool TokenStream::finished() const
{
    return finished_;
}

bool TokenStream::forwardEvent(std::string_view event)
{
    if (event.substr(0, closingEvent.size()) == closingEvent) {
        finished_ = true;
    } else if (carriesToken(event)) {
        ++tokens_;
    }
    return receiver_.data(event);
}

} // namespace Portpaddle
