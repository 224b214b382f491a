// SPDX-FileCopyrightText: 2026 portpaddle contributors
// SPDX-License-Identifier: Apache-2.0

/// Claims on calls that may not be repeated: one claim per repeat key, created in the platform's store before the call leaves.
#pragma once

#include "portpaddle/base/error.h"

#include <deque>
#include <functional>
#include <mutex>
#include <string>
#include <unordered_set>

namespace Portpaddle {

class Clock;
class KeyValueStore;
struct KeyValue;
class RandomSource;

/// The right to run one call once. It never passes to another process.
struct Claim
{
    std::string key;
    std::string claimId;
    std::uint64_t revision = 0;
    /// After this moment the holder must not send: the record may be gone soon.
    Millis sendBefore{ 0 };
};

/// Acquires and releases claims.
class ClaimStore
{
public:
    /// Asks the daemon that holds a claim whether the call under its key ran.
    using RanLookup = std::function<bool(const std::string &daemon, const std::string &key)>;

    ClaimStore(KeyValueStore &store, const Clock &clock, RandomSource &random, std::string daemon, RanLookup ranElsewhere = {});

    /// Acquires the only claim for @p idempotencyKey. DuplicateRequest when one exists; ClaimUnavailable when it cannot be proved
    /// that none does. In both failures this daemon has not run the call and never will.
    Result<Claim> acquire(const std::string &organisation, const std::string &service, const std::string &idempotencyKey);
    /// Gives back a claim under which provably nothing was sent, so that the caller may try again.
    void release(const Claim &claim);
    /// Notes that the call under @p claim ran, so that repeats are told so for as long as this daemon lives.
    void markRan(const Claim &claim);
    /// Whether a call that this daemon claimed under @p key ran.
    bool ranHere(const std::string &key) const;

private:
    Result<std::uint64_t> currentLease();
    Result<Claim> settle(Claim claim, const Error &writeError);
    Result<Claim> replaceAbandoned(Claim claim, const KeyValue &stored);
    void abandon(const Claim &claim);
    bool isAbandoned(const std::string &claimId) const;
    Error duplicate(const std::string &key, const std::string &record) const;

    KeyValueStore &store_;
    const Clock &clock_;
    RandomSource &random_;
    const std::string daemon_;
    const RanLookup ranElsewhere_;
    mutable std::mutex mutex_;
    std::unordered_set<std::string> ran_;
    std::deque<std::string> ranOrder_;
    /// Ids of claims whose writes were given up on; nothing was or will be sent under them.
    std::deque<std::string> abandoned_;
    std::uint64_t lease_ = 0;
    Millis leaseGrantedAt_{ 0 };
};

} // namespace Portpaddle
