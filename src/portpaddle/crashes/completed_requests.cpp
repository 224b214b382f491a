// SPDX-FileCopyrightText: 2026 portpaddle contributors
// SPDX-License-Identifier: Apache-2.0

#include "portpaddle/crashes/completed_requests.h"

#include "portpaddle/net/beast_text.h"

#include <xxhash.h>

namespace Portpaddle {

namespace {

// A monitor's question, the same each time, may be in progress at one end of an upstream after the other. What was served so
// shortly before is not what ended the upstream; a request that has begun to end upstreams is counted again soon.
constexpr Millis freshTime{ 2'000 };

/// Made for each request that is served: a fast hash will do, as finding a second text gains nobody anything.
std::uint64_t keyOf(const CallerRequest &request, std::string_view caller)
{
    std::uint64_t key = 0;
    for (const std::string_view part :
         { std::string_view(request.host), viewOf(request.message.target()), caller, std::string_view(request.message.body()) }) {
        key = XXH3_64bits_withSeed(part.data(), part.size(), key);
    }
    return key;
}

} // namespace

CompletedRequests::CompletedRequests() : table_(std::make_unique<std::array<Place, places>>())
{
}

void CompletedRequests::add(const CallerRequest &request, std::string_view caller, SteadyTime now)
{
    const std::uint64_t key = keyOf(request, caller);
    table_->at(key % places) = { key, now };
}

bool CompletedRequests::contains(const CallerRequest &request, std::string_view caller, SteadyTime now) const
{
    const std::uint64_t key = keyOf(request, caller);
    const Place &place = table_->at(key % places);
    return place.key == key && now - place.at < freshTime;
}

} // namespace Portpaddle
