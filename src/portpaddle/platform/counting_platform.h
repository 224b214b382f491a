// SPDX-FileCopyrightText: 2026 portpaddle contributors
// SPDX-License-Identifier: Apache-2.0

/// Counts the calls that a daemon makes to the platform.
#pragma once

#include "portpaddle/interfaces/platform.h"

namespace Portpaddle {

class Metrics;

/// Forwards every call to another platform and counts it as a read, a write or a watch.
class CountingPlatform : public Platform
{
public:
    CountingPlatform(Platform &platform, Metrics &metrics);

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

private:
    Platform &countedRead();
    Platform &countedWrite();
    Platform &countedWatch();

    Platform &platform_;
    Metrics &metrics_;
};

} // namespace Portpaddle
