// SPDX-FileCopyrightText: 2026 portpaddle contributors
// SPDX-License-Identifier: Apache-2.0

#include "portpaddle/platform/memory_platform.h"

#include "portpaddle/interfaces/clock.h"

namespace Portpaddle {

namespace {

constexpr std::size_t maxValueBytes = 1024 * 1024;

Error unavailable(RunState run)
{
    return Error{ ErrorCode::PlatformUnavailable, "the platform is unavailable", run, Millis{ 1000 } };
}

bool hasPrefix(const std::string &text, const std::string &prefix)
{
    return text.compare(0, prefix.size(), prefix) == 0;
}

} // namespace

MemoryPlatform::MemoryPlatform(const Clock &clock) : clock_(clock)
{
}

Result<std::optional<KeyValue>> MemoryPlatform::get(const std::string &key)
{
    const std::lock_guard lock(mutex_);
    ++calls_.reads;
    if (faults_.down) {
        return unavailable(RunState::NotRun);
    }
    dropExpiredLeases();
    const auto found = values_.find(key);
    if (found == values_.end()) {
        return std::optional<KeyValue>{};
    }
    return std::optional<KeyValue>{ KeyValue{ key, found->second.value, found->second.revision } };
}

Result<std::uint64_t> MemoryPlatform::put(const std::string &key, const std::string &value, std::uint64_t expectedRevision,
                                          std::uint64_t lease)
{
    const std::lock_guard lock(mutex_);
    ++calls_.writes;
    if (faults_.down) {
        return unavailable(RunState::NotRun);
    }
    dropExpiredLeases();
    if (value.size() > maxValueBytes) {
        return Error{ ErrorCode::BodyTooLarge, "the value is larger than one megabyte", RunState::NotRun, std::nullopt };
    }
    if (lease != noLease && leases_.count(lease) == 0) {
        return Error{ ErrorCode::NotFound, "the lease does not exist or has expired", RunState::NotRun, std::nullopt };
    }
    if (revisionOf(key) != expectedRevision) {
        return Error{ ErrorCode::VersionConflict, "the key was changed by another writer", RunState::NotRun, std::nullopt };
    }
    values_[key] = StoredValue{ value, ++revision_, lease };
    changed_.notify_all();
    if (faults_.losesReplies) {
        return unavailable(RunState::MayHaveRun);
    }
    return revision_;
}

Status MemoryPlatform::remove(const std::string &key, std::uint64_t expectedRevision)
{
    const std::lock_guard lock(mutex_);
    ++calls_.writes;
    if (faults_.down) {
        return unavailable(RunState::NotRun);
    }
    if (revisionOf(key) != expectedRevision) {
        return Error{ ErrorCode::VersionConflict, "the key was changed by another writer", RunState::NotRun, std::nullopt };
    }
    values_.erase(key);
    ++revision_;
    if (faults_.losesReplies) {
        return unavailable(RunState::MayHaveRun);
    }
    return success();
}

Result<std::vector<KeyValue>> MemoryPlatform::list(const std::string &prefix, const std::string &after, std::size_t limit)
{
    const std::lock_guard lock(mutex_);
    ++calls_.reads;
    if (faults_.down) {
        return unavailable(RunState::NotRun);
    }
    dropExpiredLeases();
    std::vector<KeyValue> result;
    auto position = after.empty() ? values_.lower_bound(prefix) : values_.upper_bound(after);
    for (; position != values_.end() && result.size() < limit && hasPrefix(position->first, prefix); ++position) {
        result.push_back(KeyValue{ position->first, position->second.value, position->second.revision });
    }
    return result;
}

Result<std::vector<KeyValue>> MemoryPlatform::watch(const std::string &prefix, std::uint64_t afterRevision, Millis timeout)
{
    std::unique_lock lock(mutex_);
    ++calls_.watches;
    changed_.wait_for(lock, timeout, [&] { return faults_.down || !changedSince(prefix, afterRevision).empty(); });
    if (faults_.down) {
        return unavailable(RunState::NotRun);
    }
    return changedSince(prefix, afterRevision);
}

Result<LeaseGrant> MemoryPlatform::grantLease(Millis timeToLive)
{
    const std::lock_guard lock(mutex_);
    ++calls_.writes;
    if (faults_.down) {
        return unavailable(RunState::NotRun);
    }
    const std::uint64_t id = ++nextLease_;
    leases_[id] = LeaseState{ timeToLive, clock_.monotonic() + timeToLive };
    return LeaseGrant{ id, timeToLive };
}

Status MemoryPlatform::keepAlive(std::uint64_t lease)
{
    const std::lock_guard lock(mutex_);
    ++calls_.writes;
    if (faults_.down) {
        return unavailable(RunState::NotRun);
    }
    dropExpiredLeases();
    const auto found = leases_.find(lease);
    if (found == leases_.end()) {
        return Error{ ErrorCode::NotFound, "the lease does not exist or has expired", RunState::NotRun, std::nullopt };
    }
    found->second.expiresAt = clock_.monotonic() + found->second.timeToLive;
    return success();
}

Result<std::vector<VmEntry>> MemoryPlatform::vms()
{
    const std::lock_guard lock(mutex_);
    ++calls_.reads;
    if (faults_.down) {
        return unavailable(RunState::NotRun);
    }
    std::vector<VmEntry> result;
    for (const auto &[id, entry] : vms_) {
        result.push_back(entry);
    }
    return result;
}

Result<std::optional<ClientRecord>> MemoryPlatform::find(const std::string &keyDigest)
{
    const std::lock_guard lock(mutex_);
    ++calls_.reads;
    if (faults_.down) {
        return unavailable(RunState::NotRun);
    }
    const auto found = clients_.find(keyDigest);
    if (found == clients_.end()) {
        return std::optional<ClientRecord>{};
    }
    return std::optional<ClientRecord>{ ClientRecord{ found->second } };
}

void MemoryPlatform::setFaults(PlatformFaults faults)
{
    const std::lock_guard lock(mutex_);
    faults_ = faults;
    changed_.notify_all();
}

PlatformCalls MemoryPlatform::calls() const
{
    const std::lock_guard lock(mutex_);
    return calls_;
}

void MemoryPlatform::setVm(const VmEntry &entry)
{
    const std::lock_guard lock(mutex_);
    vms_[entry.id] = entry;
}

void MemoryPlatform::setClient(const std::string &keyDigest, const std::string &organisation)
{
    const std::lock_guard lock(mutex_);
    if (organisation.empty()) {
        clients_.erase(keyDigest);
        return;
    }
    clients_[keyDigest] = organisation;
}

std::vector<KeyValue> MemoryPlatform::changedSince(const std::string &prefix, std::uint64_t afterRevision) const
{
    std::vector<KeyValue> result;
    for (auto position = values_.lower_bound(prefix); position != values_.end() && hasPrefix(position->first, prefix);
         ++position) {
        if (position->second.revision > afterRevision) {
            result.push_back(KeyValue{ position->first, position->second.value, position->second.revision });
        }
    }
    return result;
}

void MemoryPlatform::dropExpiredLeases()
{
    const Millis now = clock_.monotonic();
    for (auto lease = leases_.begin(); lease != leases_.end();) {
        if (lease->second.expiresAt > now) {
            ++lease;
            continue;
        }
        std::erase_if(values_, [&](const auto &entry) { return entry.second.lease == lease->first; });
        lease = leases_.erase(lease);
    }
}

std::uint64_t MemoryPlatform::revisionOf(const std::string &key) const
{
    const auto found = values_.find(key);
    return found == values_.end() ? mustBeAbsent : found->second.revision;
}

} // namespace Portpaddle
