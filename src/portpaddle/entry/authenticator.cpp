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
constexpr std::size_t longestKey = 512;
/// A key that the directory no longer knows dies within this time while the directory answers.
constexpr Millis recheckAfter = 5min;
/// While the directory does not answer, it is asked again this often for a known key.
constexpr Millis retryAfterFailure = 5s;
/// Without any answer of the directory a known key is honoured this long.
constexpr Millis longestTrust = 12h;
constexpr Millis unknownKeyMemory = 10s;
/// Unknown keys may cause this many lookups a second, so that guessing keys does not reach the platform.
constexpr double lookupsPerSecond = 20;
constexpr std::size_t largestCache = 20'000;

Error refused(const char *message)
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
        && authorization.size() <= bearer.size() + longestKey;
    if (!wellFormed) {
        return refused("an Authorization header with a bearer key is needed");
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
        const Millis fresh = known.organisation.empty() ? unknownKeyMemory : recheckAfter;
        const bool justTried = isKnown && now < known.triedAt + retryAfterFailure;
        const bool isFresh = isKnown && now < known.checkedAt + fresh;
        if (isFresh || (justTried && !known.organisation.empty())) {
            return known.organisation.empty() ? Result<std::string>(refused("the key is not known")) : known.organisation;
        }
        if (known.organisation.empty() && !mayAsk(now)) {
            return Error{ ErrorCode::Overloaded, "too many unknown keys", RunState::NotRun, Millis{ 1000 } };
        }
        if (isKnown) {
            found->second.triedAt = now;
        }
    }
    Result<std::string> asked = ask(digest, now);
    const bool directoryAway = !isOk(asked) && errorOf(asked).code == ErrorCode::PlatformUnavailable;
    if (directoryAway && !known.organisation.empty() && now < known.checkedAt + longestTrust) {
        return known.organisation;
    }
    return asked;
}

bool Authenticator::mayAsk(Millis now)
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

Result<std::string> Authenticator::ask(const std::string &digest, Millis now)
{
    const Result<std::optional<ClientRecord>> found = directory_.find(digest);
    if (!isOk(found)) {
        return Error{ ErrorCode::PlatformUnavailable, "the directory of clients does not answer", RunState::NotRun,
                      Millis{ 2000 } };
    }
    const std::string organisation = valueOf(found) ? valueOf(found)->organisation : std::string{};
    remember(digest, organisation, now);
    if (organisation.empty()) {
        return refused("the key is not known");
    }
    return organisation;
}

void Authenticator::remember(const std::string &digest, const std::string &organisation, Millis now)
{
    const std::lock_guard lock(mutex_);
    if (entries_.size() >= largestCache) {
        std::erase_if(entries_, [&](const auto &entry) { return entry.second.organisation.empty(); });
    }
    entries_[digest] = Entry{ organisation, now, now };
}

} // namespace Portpaddle
