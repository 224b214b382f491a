// SPDX-FileCopyrightText: 2026 portpaddle contributors
// SPDX-License-Identifier: Apache-2.0

/// Claims for at-most-once calls: one claim per idempotency key, written to the platform's store before the call is sent.
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

/// The right to run one call once. A claim is never transferred to another process.
struct Claim
{
    std::string key;
    std::string claimId;
    std::uint64_t revision = 0;
    /// After this time the holder must not send, because the record in the store may expire soon.
    Millis sendBefore{ 0 };
};

/// Acquires and releases claims, and remembers which claimed calls ran. Thread-safe.
class ClaimStore
{
public:
    /// Asks the daemon that holds the claim under a key whether the call ran.
    using RanLookup = std::function<bool(const std::string &daemon, const std::string &key)>;

    ClaimStore(KeyValueStore &store, const Clock &clock, RandomSource &random, std::string daemon, RanLookup ranElsewhere = {});

    /// Acquires the only claim for @p idempotencyKey. Fails with DuplicateRequest if one exists, and with ClaimUnavailable if it
    /// cannot be proved that none does. In both cases this daemon has not run the call and never will.
    Result<Claim> acquire(const std::string &organisation, const std::string &service, const std::string &idempotencyKey);
    /// Releases a claim under which provably nothing was sent, so that the caller may try again.
    void release(const Claim &claim);
    /// Records that the call under @p claim ran, so that duplicates are refused as already run while this daemon runs.
    void markRan(const Claim &claim);
    /// Whether it is recorded that a call that this daemon claimed under @p key ran.
    bool ranHere(const std::string &key) const;

private:
    Result<std::uint64_t> currentLease();
    /// Finds out whether @p claim was written despite @p writeError.
    Result<Claim> resolveFailedWrite(Claim claim, const Error &writeError);
    Result<Claim> replaceAbandoned(Claim claim, const KeyValue &stored);
    void abandon(const Claim &claim);
    bool isAbandoned(const std::string &claimId) const;
    Error duplicateError(const std::string &key, const std::string &record) const;

    KeyValueStore &store_;
    const Clock &clock_;
    RandomSource &random_;
    const std::string daemon_;
    const RanLookup ranElsewhere_;
    mutable std::mutex mutex_;
    std::unordered_set<std::string> ranKeys_;
    std::deque<std::string> ranKeyOrder_;
    /// Ids of claims whose writes failed without a known result. Nothing was or will be sent under them.
    std::deque<std::string> abandonedClaims_;
    std::uint64_t lease_ = 0;
    Millis leaseGrantedAt_{ 0 };
};

} // namespace Portpaddle
