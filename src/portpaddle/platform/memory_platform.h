// SPDX-FileCopyrightText: 2026 portpaddle contributors
// SPDX-License-Identifier: Apache-2.0

/// In-memory platform: the embedded default for trials, and a test double that can simulate faults.
#pragma once

#include "portpaddle/interfaces/platform.h"

#include <atomic>
#include <condition_variable>
#include <map>
#include <mutex>

namespace Portpaddle {

class Clock;

/// Number of calls of each kind that the platform has received.
struct PlatformCalls
{
    std::uint64_t reads = 0;
    std::uint64_t writes = 0;
    std::uint64_t watches = 0;
};

/// Faults that tests can simulate.
struct PlatformFaults
{
    /// Every call fails without effect.
    bool down = false;
    /// Writes take effect but their replies are lost.
    bool losesReplies = false;
};

/// Keeps keys, leases, VMs and clients in memory.
class MemoryPlatform : public Platform
{
public:
    explicit MemoryPlatform(const Clock &clock);

    Result<std::optional<KeyValue>> get(const std::string &key) override;
    Result<std::uint64_t> put(const std::string &key, const std::string &value, std::uint64_t expectedRevision,
                              std::uint64_t lease) override;
    Status remove(const std::string &key, std::uint64_t expectedRevision) override;
    Result<std::vector<KeyValue>> list(const std::string &prefix, const std::string &after, std::size_t limit) override;
    Result<std::vector<KeyValue>> watch(const std::string &prefix, std::uint64_t afterRevision, Millis timeout) override;
    Result<LeaseGrant> grantLease(Millis timeToLive) override;
    Status keepAlive(std::uint64_t lease) override;
    Result<std::vector<VmEntry>> vms() override;
    Result<std::optional<ClientRecord>> find(const std::string &keyDigest) override;

    void setFaults(PlatformFaults faults);
    PlatformCalls calls() const;
    void setVm(const VmEntry &entry);
    /// Adds a client, or removes it if @p organisation is empty.
    void setClient(const std::string &keyDigest, const std::string &organisation);

private:
    struct StoredValue
    {
        std::string value;
        std::uint64_t revision = 0;
        std::uint64_t lease = 0;
    };
    struct LeaseState
    {
        Millis timeToLive{ 0 };
        Millis expiresAt{ 0 };
    };

    std::vector<KeyValue> changedSince(const std::string &prefix, std::uint64_t afterRevision) const;
    void dropExpiredLeases();
    std::uint64_t revisionOf(const std::string &key) const;

    const Clock &clock_;
    mutable std::mutex mutex_;
    std::condition_variable changed_;
    std::map<std::string, StoredValue> values_;
    std::map<std::uint64_t, LeaseState> leases_;
    std::map<std::string, VmEntry> vms_;
    std::map<std::string, std::string> clients_;
    std::uint64_t revision_ = 0;
    std::uint64_t nextLease_ = 0;
    PlatformFaults faults_;
    PlatformCalls calls_;
};

} // namespace Portpaddle
