// SPDX-FileCopyrightText: 2026 portpaddle contributors
// SPDX-License-Identifier: Apache-2.0

/// What the platform's services offer: a key-value store, the list of VMs and the directory of clients.
#pragma once

#include "portpaddle/base/error.h"

#include <cstdint>
#include <optional>
#include <string>
#include <vector>

namespace Portpaddle {

/// One stored value with the revision that wrote it; revisions rise over the whole store.
struct KeyValue
{
    std::string key;
    std::string value;
    std::uint64_t revision = 0;
};

/// A lease that was granted; keys written under it vanish when it lapses.
struct LeaseGrant
{
    std::uint64_t id = 0;
    Millis timeToLive{ 0 };
};

/// Writing with this revision demands that the key does not exist.
inline constexpr std::uint64_t mustBeAbsent = 0;
/// Writing under no lease.
inline constexpr std::uint64_t noLease = 0;

/// The key-value store. A write whose reply was lost fails with RunState::MayHaveRun; read back to learn its fate.
class KeyValueStore
{
public:
    virtual ~KeyValueStore() = default;
    virtual Result<std::optional<KeyValue>> get(const std::string &key) = 0;
    /// Compare-and-swap; VersionConflict when the key's revision is not @p expectedRevision.
    virtual Result<std::uint64_t> put(const std::string &key, const std::string &value, std::uint64_t expectedRevision,
                                      std::uint64_t lease = noLease)
        = 0;
    virtual Status remove(const std::string &key, std::uint64_t expectedRevision) = 0;
    /// Keys beginning with @p prefix and greater than @p after, in order, at most @p limit.
    virtual Result<std::vector<KeyValue>> list(const std::string &prefix, const std::string &after, std::size_t limit) = 0;
    /// Waits until a key beginning with @p prefix has a revision above @p afterRevision, or until @p timeout.
    virtual Result<std::vector<KeyValue>> watch(const std::string &prefix, std::uint64_t afterRevision, Millis timeout) = 0;
    virtual Result<LeaseGrant> grantLease(Millis timeToLive) = 0;
    virtual Status keepAlive(std::uint64_t lease) = 0;
};

/// One VM as the platform lists it; the list lags behind.
struct VmEntry
{
    std::string id;
    std::string dataCentre;
    std::string gossipAddress;
    bool leaving = false;
};

/// The lagging list of VMs.
class VmList
{
public:
    virtual ~VmList() = default;
    virtual Result<std::vector<VmEntry>> vms() = 0;
};

/// A client as the directory knows it.
struct ClientRecord
{
    std::string organisation;
};

/// The directory of clients, looked up by the SHA-256 digest of a bearer key so that keys are never sent on.
class ClientDirectory
{
public:
    virtual ~ClientDirectory() = default;
    /// No value when the directory does not know the key.
    virtual Result<std::optional<ClientRecord>> find(const std::string &keyDigest) = 0;
};

/// All that the platform offers, behind one connection.
class Platform : public KeyValueStore, public VmList, public ClientDirectory
{
};

} // namespace Portpaddle
