// SPDX-FileCopyrightText: 2026 portpaddle contributors
// SPDX-License-Identifier: Apache-2.0

#include "portpaddle/claims/claim_store.h"

#include "portpaddle/base/digest.h"
#include "portpaddle/base/json_text.h"
#include "portpaddle/interfaces/clock.h"
#include "portpaddle/interfaces/platform.h"
#include "portpaddle/interfaces/random_source.h"

#include <algorithm>
#include <chrono>

#include <fmt/format.h>
#include <nlohmann/json.hpp>

namespace Portpaddle {

namespace {

using namespace std::chrono_literals;

// Claims are written under a lease that is never renewed, so that the platform removes them without a garbage collector.
constexpr Millis claimLifetime = 26h;
constexpr std::size_t maxAbandonedClaims = 10'000;
/// Number of calls that a daemon remembers as run; they take about 6 MB.
constexpr std::size_t maxRecordedRuns = 50'000;
constexpr Millis leaseUseTime = 1h;
/// The longest deadline. A claim written at the end of its lease's use still outlives this time by an hour.
constexpr Millis maxSendDelay = 24h;

std::string claimKey(const std::string &organisation, const std::string &service, const std::string &idempotencyKey)
{
    return "portpaddle/claims/" + sha256Hex(fmt::format("{}\n{}\n{}", organisation, service, idempotencyKey));
}

std::string encodeClaim(const Claim &claim, const std::string &daemon)
{
    return nlohmann::json{ { "claim_id", claim.claimId }, { "daemon", daemon } }.dump();
}

std::string parseClaimId(const std::string &record)
{
    const nlohmann::json json = parseJson(record);
    const bool hasClaimId = json.is_object() && json.contains("claim_id") && json["claim_id"].is_string();
    return hasClaimId ? json["claim_id"].get<std::string>() : std::string{};
}

Error unavailable()
{
    return Error{ ErrorCode::ClaimUnavailable, "the platform cannot confirm that this call runs only once", RunState::NotRun,
                  Millis{ 2000 } };
}

} // namespace

ClaimStore::ClaimStore(KeyValueStore &store, const Clock &clock, RandomSource &random, std::string daemon, RanLookup ranElsewhere)
    : store_(store), clock_(clock), random_(random), daemon_(std::move(daemon)), ranElsewhere_(std::move(ranElsewhere))
{
}

Result<Claim> ClaimStore::acquire(const std::string &organisation, const std::string &service, const std::string &idempotencyKey)
{
    const Millis askedAt = clock_.monotonic();
    const Result<std::uint64_t> lease = currentLease();
    if (!isOk(lease)) {
        return unavailable();
    }
    Claim claim;
    claim.key = claimKey(organisation, service, idempotencyKey);
    claim.claimId = fmt::format("{}-{:016x}{:016x}", daemon_, random_.next(), random_.next());
    claim.sendBefore = askedAt + maxSendDelay;
    const Result<std::uint64_t> written = store_.put(claim.key, encodeClaim(claim, daemon_), mustBeAbsent, valueOf(lease));
    if (!isOk(written)) {
        return resolveFailedWrite(std::move(claim), errorOf(written));
    }
    claim.revision = valueOf(written);
    return claim;
}

void ClaimStore::release(const Claim &claim)
{
    // If the removal fails, the key stays claimed and retries are refused as "may have run": safe, though not helpful.
    store_.remove(claim.key, claim.revision);
}

void ClaimStore::markRan(const Claim &claim)
{
    // Kept in memory and queried by other daemons: a second write would halve the calls that the platform can handle.
    const std::lock_guard lock(mutex_);
    if (ranKeys_.insert(claim.key).second) {
        ranKeyOrder_.push_back(claim.key);
    }
    if (ranKeyOrder_.size() > maxRecordedRuns) {
        ranKeys_.erase(ranKeyOrder_.front());
        ranKeyOrder_.pop_front();
    }
}

bool ClaimStore::ranHere(const std::string &key) const
{
    const std::lock_guard lock(mutex_);
    return ranKeys_.count(key) != 0;
}

Result<std::uint64_t> ClaimStore::currentLease()
{
    const std::lock_guard lock(mutex_);
    const Millis now = clock_.monotonic();
    if (lease_ != 0 && now < leaseGrantedAt_ + leaseUseTime) {
        return lease_;
    }
    const Result<LeaseGrant> granted = store_.grantLease(claimLifetime);
    if (!isOk(granted)) {
        return errorOf(granted);
    }
    lease_ = valueOf(granted).id;
    leaseGrantedAt_ = now;
    return lease_;
}

Result<Claim> ClaimStore::resolveFailedWrite(Claim claim, const Error &writeError)
{
    if (writeError.code == ErrorCode::NotFound) {
        const std::lock_guard lock(mutex_);
        lease_ = 0;
        return unavailable();
    }
    const bool mayBeWritten = writeError.run != RunState::NotRun || writeError.code == ErrorCode::VersionConflict;
    if (!mayBeWritten) {
        return unavailable();
    }
    const Result<std::optional<KeyValue>> stored = store_.get(claim.key);
    if (!isOk(stored) || !valueOf(stored)) {
        // A write that takes effect later only makes retries be refused: nothing is sent without a confirmed claim.
        abandon(claim);
        return unavailable();
    }
    const std::string holder = parseClaimId(valueOf(stored)->value);
    if (holder == claim.claimId) {
        claim.revision = valueOf(stored)->revision;
        return claim;
    }
    if (isAbandoned(holder)) {
        return replaceAbandoned(std::move(claim), *valueOf(stored));
    }
    return duplicateError(claim.key, valueOf(stored)->value);
}

Result<Claim> ClaimStore::replaceAbandoned(Claim claim, const KeyValue &stored)
{
    // The compare-and-swap succeeds for one caller only, so that two concurrent retries cannot both acquire the claim.
    const Result<std::uint64_t> lease = currentLease();
    const Result<std::uint64_t> written
        = isOk(lease) ? store_.put(claim.key, encodeClaim(claim, daemon_), stored.revision, valueOf(lease)) : lease;
    if (!isOk(written)) {
        abandon(claim);
        return unavailable();
    }
    claim.revision = valueOf(written);
    return claim;
}

void ClaimStore::abandon(const Claim &claim)
{
    const std::lock_guard lock(mutex_);
    abandonedClaims_.push_back(claim.claimId);
    if (abandonedClaims_.size() > maxAbandonedClaims) {
        abandonedClaims_.pop_front();
    }
}

bool ClaimStore::isAbandoned(const std::string &claimId) const
{
    const std::lock_guard lock(mutex_);
    return std::find(abandonedClaims_.begin(), abandonedClaims_.end(), claimId) != abandonedClaims_.end();
}

Error ClaimStore::duplicateError(const std::string &key, const std::string &record) const
{
    const nlohmann::json json = parseJson(record);
    const bool hasDaemon = json.is_object() && json.contains("daemon") && json["daemon"].is_string();
    const std::string holder = hasDaemon ? json["daemon"].get<std::string>() : std::string{};
    const bool ran = holder == daemon_ ? ranHere(key) : hasDaemon && ranElsewhere_ && ranElsewhere_(holder, key);
    return Error{ ErrorCode::DuplicateRequest, "a call with this Idempotency-Key was already accepted",
                  ran ? RunState::Ran : RunState::MayHaveRun, std::nullopt };
}

} // namespace Portpaddle
