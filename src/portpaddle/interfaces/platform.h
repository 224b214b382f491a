// SPDX-FileCopyrightText: 2026 portpaddle contributors
// SPDX-License-Identifier: Apache-2.0

/// The services of the platform: a key-value store, the list of VMs and the directory of clients.
#pragma once

#include "portpaddle/base/error.h"

#include <cstdint>
#include <optional>
#include <string>
#include <vector>

namespace Portpaddle {

/// A stored value with the revision of its last write. Revisions increase over the whole store.
struct KeyValue
{
    std::string key;
    std::string value;
    std::uint64_t revision = 0;
};

/// A granted lease. Keys written under a lease are removed when the lease expires.
struct LeaseGrant
{
    std::uint64_t id = 0;
    Millis timeToLive{ 0 };
};

/// The expected revision of a key that must not exist.
inline constexpr std::uint64_t mustBeAbsent = 0;
/// The lease id of keys that are bound to no lease.
inline constexpr std::uint64_t noLease = 0;

/// The key-value store. A write whose reply was lost fails with RunState::MayHaveRun; reading the key shows whether it was
/// applied.
class KeyValueStore
{
public:
    virtual ~KeyValueStore() = default;
    virtual Result<std::optional<KeyValue>> get(const std::string &key) = 0;
    /// Writes if the key's revision is @p expectedRevision, else VersionConflict. Returns the new revision.
    virtual Result<std::uint64_t> put(const std::string &key, const std::string &value, std::uint64_t expectedRevision,
                                      std::uint64_t lease = noLease)
        = 0;
    virtual Status remove(const std::string &key, std::uint64_t expectedRevision) = 0;
    /// Returns the keys that begin with @p prefix and are greater than @p after, in order, at most @p limit of them.
    virtual Result<std::vector<KeyValue>> list(const std::string &prefix, const std::string &after, std::size_t limit) = 0;
    /// Waits up to @p timeout until a key that begins with @p prefix has a revision above @p afterRevision.
    virtual Result<std::vector<KeyValue>> watch(const std::string &prefix, std::uint64_t afterRevision, Millis timeout) = 0;
    virtual Result<LeaseGrant> grantLease(Millis timeToLive) = 0;
    virtual Status keepAlive(std::uint64_t lease) = 0;
};

/// A VM in the platform's list.
struct VmEntry
{
    std::string id;
    std::string dataCentre;
    std::string gossipAddress;
    bool leaving = false;
};

/// The list of VMs, which lags behind the actual state.
class VmList
{
public:
    virtual ~VmList() = default;
    virtual Result<std::vector<VmEntry>> vms() = 0;
};

/// The record of a client in the directory.
struct ClientRecord
{
    std::string organisation;
};

/// The directory of clients. Clients are looked up by the SHA-256 digest of their bearer key, so that keys are never forwarded.
class ClientDirectory
{
public:
    virtual ~ClientDirectory() = default;
    /// Returns the client with @p keyDigest; no value when the key is unknown.
    virtual Result<std::optional<ClientRecord>> find(const std::string &keyDigest) = 0;
};

/// All services of the platform behind one connection.
class Platform : public KeyValueStore, public VmList, public ClientDirectory
{
};

} // namespace Portpaddle
