// SPDX-FileCopyrightText: 2026 portpaddle contributors
// SPDX-License-Identifier: Apache-2.0

#include "portpaddle/entry/authenticator.h"

#include "portpaddle/base/digest.h"
#include "portpaddle/interfaces/clock.h"
#include "portpaddle/interfaces/platform.h"

#include <algorithm>
#include <chrono>

namespace Portpaddle {

namespace {

using namespace std::chrono_literals;

constexpr std::string_view bearer = "Bearer ";
constexpr std::size_t maxKeyLength = 512;
/// A known key is looked up again after this time, so that a revoked key stops working while the directory answers.
constexpr Millis recheckAfter = 5min;
/// Interval at which the lookup of a known key is retried while the directory does not answer.
constexpr Millis retryAfterFailure = 5s;
/// While the directory does not answer, a known key is accepted for this long after its last successful lookup.
constexpr Millis maxOfflineTrust = 12h;
constexpr Millis unknownKeyCacheTime = 10s;
/// Maximum lookups of unknown keys per second; limits the load that guessed keys cause on the platform.
constexpr double lookupsPerSecond = 20;
constexpr std::size_t maxCachedKeys = 20'000;

Error unauthenticated(const char *message)
{
    return Error{ ErrorCode::Unauthenticated, message, RunState::NotRun, std::nullopt };
}

} // namespace

Authenticator::Authenticator(ClientDirectory &directory, const Clock &clock) : directory_(directory), clock_(clock)
{
}

Result<std::string> Authenticator::organisationOf(const std::string &authorization)
{
    const bool wellFormed = authorization.compare(0, bearer.size(), bearer) == 0 && authorization.size() > bearer.size()
        && authorization.size() <= bearer.size() + maxKeyLength;
    if (!wellFormed) {
        return unauthenticated("an Authorization header with a bearer key is required");
    }
    const std::string digest = sha256Hex(std::string_view(authorization).substr(bearer.size()));
    const Millis now = clock_.monotonic();
    Entry known;
    bool isKnown = false;
    {
        const std::lock_guard lock(mutex_);
        const auto found = entries_.find(digest);
        isKnown = found != entries_.end();
        known = isKnown ? found->second : Entry{};
        const Millis fresh = known.organisation.empty() ? unknownKeyCacheTime : recheckAfter;
        const bool justAttempted = isKnown && now < known.attemptedAt + retryAfterFailure;
        const bool isFresh = isKnown && now < known.checkedAt + fresh;
        if (isFresh || (justAttempted && !known.organisation.empty())) {
            return known.organisation.empty() ? Result<std::string>(unauthenticated("the key is unknown")) : known.organisation;
        }
        if (known.organisation.empty() && !takeLookup(now)) {
            return Error{ ErrorCode::Overloaded, "too many requests with unknown keys", RunState::NotRun, Millis{ 1000 } };
        }
        if (isKnown) {
            found->second.attemptedAt = now;
        }
    }
    Result<std::string> result = lookUp(digest, now);
    const bool directoryUnavailable = !isOk(result) && errorOf(result).code == ErrorCode::PlatformUnavailable;
    if (directoryUnavailable && !known.organisation.empty() && now < known.checkedAt + maxOfflineTrust) {
        return known.organisation;
    }
    return result;
}

bool Authenticator::takeLookup(Millis now)
{
    const double seconds = static_cast<double>((now - allowanceAt_).count()) / 1000;
    lookupAllowance_ = std::min(lookupsPerSecond, lookupAllowance_ + seconds * lookupsPerSecond);
    allowanceAt_ = now;
    if (lookupAllowance_ < 1) {
        return false;
    }
    lookupAllowance_ -= 1;
    return true;
}

Result<std::string> Authenticator::lookUp(const std::string &digest, Millis now)
{
    const Result<std::optional<ClientRecord>> found = directory_.find(digest);
    if (!isOk(found)) {
        return Error{ ErrorCode::PlatformUnavailable, "the client directory does not answer", RunState::NotRun, Millis{ 2000 } };
    }
    const std::string organisation = valueOf(found) ? valueOf(found)->organisation : std::string{};
    store(digest, organisation, now);
    if (organisation.empty()) {
        return unauthenticated("the key is unknown");
    }
    return organisation;
}

void Authenticator::store(const std::string &digest, const std::string &organisation, Millis now)
{
    const std::lock_guard lock(mutex_);
    if (entries_.size() >= maxCachedKeys) {
        std::erase_if(entries_, [&](const auto &entry) { return entry.second.organisation.empty(); });
    }
    entries_[digest] = Entry{ organisation, now, now };
}

} // namespace Portpaddle
