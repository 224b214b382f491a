// SPDX-FileCopyrightText: 2026 portpaddle contributors
// SPDX-License-Identifier: Apache-2.0

#include "portpaddle/callers/caller_request.h"

#include <xxhash.h>

#include <algorithm>
#include <charconv>
#include <string_view>

namespace Portpaddle {

namespace {

/// Returns the number at the start of @p text; zero if there is none, which means that the hint is absent.
template<typename Number>
Number leadingNumber(std::string_view text)
{
    Number value{};
    std::from_chars(text.data(), text.data() + text.size(), value);
    return value;
}

/// Returns the entries of the form NAME:TOKENS in @p list, at most maxPromptParts.
std::vector<std::string_view> partEntries(std::string_view list)
{
    std::vector<std::string_view> entries;
    while (!list.empty() && entries.size() < maxPromptParts) {
        const std::size_t comma = list.find(',');
        std::string_view entry = list.substr(0, comma);
        list = comma == std::string_view::npos ? std::string_view{} : list.substr(comma + 1);
        while (!entry.empty() && entry.front() == ' ') {
            entry.remove_prefix(1);
        }
        if (entry.find(':') != std::string_view::npos) {
            entries.push_back(entry);
        }
    }
    return entries;
}

std::vector<PromptPart> decodeParts(std::string_view list)
{
    std::vector<PromptPart> parts;
    std::uint64_t chain = 0;
    for (const std::string_view entry : partEntries(list)) {
        const std::size_t colon = entry.find(':');
        chain = XXH3_64bits_withSeed(entry.data(), colon, chain);
        parts.push_back({ chain, leadingNumber<unsigned>(entry.substr(colon + 1)) });
    }
    return parts;
}

PromptFacts decodePrompt(const HttpRequest &message, const HeaderNames &names)
{
    PromptFacts prompt;
    const std::string_view counts(message[names.tokenCounts].data(), message[names.tokenCounts].size());
    prompt.promptTokens = leadingNumber<unsigned>(counts);
    const std::size_t comma = counts.find(',');
    if (comma != std::string_view::npos) {
        prompt.maxTokensOut = leadingNumber<unsigned>(counts.substr(comma + 1));
    }
    const auto hint = message[names.lengthHint];
    prompt.expectedTokensOut = leadingNumber<unsigned>(std::string_view(hint.data(), hint.size()));
    if (prompt.expectedTokensOut == 0 || prompt.expectedTokensOut > prompt.maxTokensOut) {
        prompt.expectedTokensOut = prompt.maxTokensOut;
    }
    const auto parts = message[names.promptParts];
    prompt.parts = decodeParts(std::string_view(parts.data(), parts.size()));
    return prompt;
}

} // namespace

double PromptFacts::sharedTokens() const
{
    return parts.empty() ? 0 : std::max(0.0, static_cast<double>(promptTokens) - parts.back().tokens);
}

std::uint64_t CallerRequest::contentHash() const
{
    return prompt.parts.empty() ? idHash : prompt.parts.back().chainHash;
}

std::uint64_t CallerRequest::streamHash() const
{
    return resumes.empty() ? idHash : XXH3_64bits(resumes.data(), resumes.size());
}

std::vector<std::string_view> promptPartNames(std::string_view list)
{
    std::vector<std::string_view> names = partEntries(list);
    for (std::string_view &name : names) {
        name = name.substr(0, name.find(':'));
    }
    return names;
}

CallerRequest decodeRequest(HttpRequest message, const HeaderNames &names, SteadyTime arrivedAt)
{
    CallerRequest request;
    request.arrivedAt = arrivedAt;
    request.receivedAt = arrivedAt;
    const auto id = message[names.requestId];
    request.id.assign(id.data(), id.size());
    request.idHash = XXH3_64bits(request.id.data(), request.id.size());
    const auto resumes = message[names.resumes];
    request.resumes.assign(resumes.data(), resumes.size());
    const auto host = message[boost::beast::http::field::host];
    request.host.assign(host.data(), host.size());
    const auto timeLeft = message[names.timeLeft];
    if (!timeLeft.empty()) {
        request.timeLeft = Millis(leadingNumber<std::int64_t>(std::string_view(timeLeft.data(), timeLeft.size())));
    }
    request.prompt = decodePrompt(message, names);
    request.message = std::move(message);
    return request;
}

} // namespace Portpaddle
