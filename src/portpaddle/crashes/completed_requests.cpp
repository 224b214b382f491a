// SPDX-FileCopyrightText: 2026 portpaddle contributors
// SPDX-License-Identifier: Apache-2.0

#include "portpaddle/crashes/completed_requests.h"

#include "portpaddle/net/beast_text.h"

#include <xxhash.h>

namespace Portpaddle {

namespace {

// The identical requests of a monitor may be in progress at every crash of an upstream. A request that was served so shortly
// before did not cause the crash; one that has begun to crash upstreams is counted again after this time.
constexpr Millis retention{ 2'000 };

/// Computed for each request that is served, so the hash is fast; it need not be cryptographic, since a collision gains nobody
/// anything.
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

CompletedRequests::CompletedRequests() : slots_(std::make_unique<std::array<Slot, slotCount>>())
{
}

void CompletedRequests::add(const CallerRequest &request, std::string_view caller, SteadyTime now)
{
    const std::uint64_t key = keyOf(request, caller);
    slots_->at(key % slotCount) = { key, now };
}

bool CompletedRequests::contains(const CallerRequest &request, std::string_view caller, SteadyTime now) const
{
    const std::uint64_t key = keyOf(request, caller);
    const Slot &slot = slots_->at(key % slotCount);
    return slot.key == key && now - slot.at < retention;
}

} // namespace Portpaddle
