// SPDX-FileCopyrightText: 2026 portpaddle contributors
// SPDX-License-Identifier: Apache-2.0

#include "portpaddle/streams/continuation.h"

namespace Portpaddle {

namespace {

constexpr char separator = ' ';
// Ids, addresses and handles of copies are short.
constexpr std::size_t maxTextLength = 512;

} // namespace

std::string encodeContinuation(const Continuation &continuation)
{
    return continuation.upstream + separator + continuation.memoryFrom;
}

std::optional<Continuation> decodeContinuation(std::string_view text)
{
    const std::size_t at = text.find(separator);
    if (text.size() > maxTextLength || at == std::string_view::npos || at == 0 || at + 1 == text.size()) {
        return std::nullopt;
    }
    return Continuation{ std::string(text.substr(0, at)), std::string(text.substr(at + 1)) };
}

} // namespace Portpaddle
