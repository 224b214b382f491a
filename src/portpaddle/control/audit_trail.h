// SPDX-FileCopyrightText: 2026 portpaddle contributors
// SPDX-License-Identifier: Apache-2.0

/// Log of operator actions other than settings changes, kept in the platform's store.
#pragma once

#include "portpaddle/base/error.h"

#include <cstdint>
#include <deque>
#include <mutex>
#include <string>
#include <vector>

#include <nlohmann/json_fwd.hpp>

namespace Portpaddle {

class Clock;
class KeyValueStore;

/// One action of an operator.
struct AuditEntry
{
    std::int64_t wallMs = 0;
    std::string author;
    std::string from;
    std::string daemon;
    std::string action;
    std::string reason;
    std::string outcome;
};

nlohmann::json toJson(const AuditEntry &entry);

/// Stores entries for ninety days by leases. While the platform is unavailable, a bounded number of entries is kept in memory.
class AuditTrail
{
public:
    AuditTrail(KeyValueStore &store, const Clock &clock, std::string daemon);

    /// Adds the time and the daemon to an entry and stores it.
    void record(AuditEntry entry);
    /// Tries to store the waiting entries; to be called from time to time.
    void flush();
    /// Returns at most @p limit entries, newest first.
    Result<std::vector<AuditEntry>> newest(std::size_t limit);
    /// Returns the number of entries that are not stored yet.
    std::size_t waiting() const;

private:
    bool write(const AuditEntry &entry, std::uint64_t number);
    bool renewLease();

    KeyValueStore &store_;
    const Clock &clock_;
    const std::string daemon_;
    mutable std::mutex mutex_;
    std::deque<AuditEntry> waiting_;
    std::uint64_t written_ = 0;
    std::uint64_t lease_ = 0;
    Millis leaseAt_{ 0 };
};

} // namespace Portpaddle
