// SPDX-FileCopyrightText: 2026 portpaddle contributors
// SPDX-License-Identifier: Apache-2.0

#include "portpaddle/control/audit_trail.h"

#include "portpaddle/base/json_text.h"
#include "portpaddle/interfaces/clock.h"
#include "portpaddle/interfaces/platform.h"

#include <algorithm>
#include <chrono>

#include <fmt/format.h>
#include <nlohmann/json.hpp>

namespace Portpaddle {

namespace {

using namespace std::chrono_literals;

const std::string auditPrefix = "portpaddle/audit/";
constexpr Millis retention = 24h * 90;
constexpr Millis leaseRenewal = 24h;
constexpr std::size_t maxWaiting = 1'000;
constexpr std::size_t pageSize = 500;

AuditEntry entryFromText(const std::string &text)
{
    const nlohmann::json json = parseJson(text);
    AuditEntry entry;
    if (json.is_object()) {
        entry.wallMs = json.value("time_ms", std::int64_t{ 0 });
        entry.author = json.value("author", "");
        entry.from = json.value("from", "");
        entry.daemon = json.value("daemon", "");
        entry.action = json.value("action", "");
        entry.reason = json.value("reason", "");
        entry.outcome = json.value("outcome", "");
    }
    return entry;
}

} // namespace

nlohmann::json toJson(const AuditEntry &entry)
{
    return { { "time_ms", entry.wallMs }, { "author", entry.author }, { "from", entry.from },      { "daemon", entry.daemon },
             { "action", entry.action },  { "reason", entry.reason }, { "outcome", entry.outcome } };
}

AuditTrail::AuditTrail(KeyValueStore &store, const Clock &clock, std::string daemon)
    : store_(store), clock_(clock), daemon_(std::move(daemon))
{
}

void AuditTrail::record(AuditEntry entry)
{
    entry.wallMs = clock_.wall().count();
    entry.daemon = daemon_;
    {
        const std::lock_guard lock(mutex_);
        waiting_.push_back(std::move(entry));
        if (waiting_.size() > maxWaiting) {
            waiting_.pop_front();
        }
    }
    flush();
}

void AuditTrail::flush()
{
    const std::lock_guard lock(mutex_);
    while (!waiting_.empty() && write(waiting_.front(), written_)) {
        waiting_.pop_front();
        ++written_;
    }
}

Result<std::vector<AuditEntry>> AuditTrail::newest(std::size_t limit)
{
    std::vector<AuditEntry> entries;
    std::string after;
    while (true) {
        const Result<std::vector<KeyValue>> page = store_.list(auditPrefix, after, pageSize);
        if (!isOk(page)) {
            return errorOf(page);
        }
        for (const KeyValue &value : valueOf(page)) {
            entries.push_back(entryFromText(value.value));
            after = value.key;
        }
        if (valueOf(page).size() < pageSize) {
            break;
        }
    }
    std::reverse(entries.begin(), entries.end());
    entries.resize(std::min(entries.size(), limit));
    return entries;
}

std::size_t AuditTrail::waiting() const
{
    const std::lock_guard lock(mutex_);
    return waiting_.size();
}

bool AuditTrail::write(const AuditEntry &entry, std::uint64_t number)
{
    if (!renewLease()) {
        return false;
    }
    const std::string key = fmt::format("{}{:015}-{}-{}", auditPrefix, entry.wallMs, daemon_, number);
    const std::string text = toJson(entry).dump(-1, ' ', false, nlohmann::json::error_handler_t::replace);
    const Result<std::uint64_t> written = store_.put(key, text, mustBeAbsent, lease_);
    // The key is unique to this entry: a conflict means that an earlier write succeeded and its reply was lost.
    return isOk(written) || errorOf(written).code == ErrorCode::VersionConflict;
}

bool AuditTrail::renewLease()
{
    const Millis now = clock_.monotonic();
    if (lease_ != 0 && now < leaseAt_ + leaseRenewal) {
        return true;
    }
    const Result<LeaseGrant> granted = store_.grantLease(retention);
    if (!isOk(granted)) {
        return false;
    }
    lease_ = valueOf(granted).id;
    leaseAt_ = now;
    return true;
}

} // namespace Portpaddle
