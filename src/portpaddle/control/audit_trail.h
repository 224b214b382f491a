// SPDX-FileCopyrightText: 2026 portpaddle contributors
// SPDX-License-Identifier: Apache-2.0

/// What operators did besides changing settings, kept in the platform's store.
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

/// One act of an operator.
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

/// Entries live ninety days under the platform's leases; while the platform is away they wait in memory, up to a bound.
class AuditTrail
{
public:
    AuditTrail(KeyValueStore &store, const Clock &clock, std::string daemon);

    void record(AuditEntry entry);
    /// Writes what waits; called now and then.
    void flush();
    /// The newest entries first, at most @p limit.
    Result<std::vector<AuditEntry>> newest(std::size_t limit);
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
