// SPDX-FileCopyrightText: 2026 portpaddle contributors
// SPDX-License-Identifier: Apache-2.0

/// Keeps this daemon's record in the store under a lease.
#pragma once

#include "portpaddle/base/thread.h"
#include "portpaddle/gateway/fleet_view.h"
#include "portpaddle/interfaces/leased_store.h"

#include <atomic>
#include <functional>

namespace Portpaddle {

/// Where the records of daemons lie.
inline constexpr const char *daemonRecordPrefix = "portpaddle/daemons/";

std::string encodeDaemonRecord(const DaemonRecord &record);
Result<DaemonRecord> decodeDaemonRecord(const std::string &text);

/// Runs a thread until withdraw() is called.
class DaemonRegistration
{
public:
    /// Enters the list once @p ready; @p stillListed tells whether the store's list names this daemon.
    DaemonRegistration(LeasedStore &store, DaemonRecord record, Millis shortestLease, std::function<bool()> ready,
                       std::function<bool()> stillListed);
    ~DaemonRegistration();

    void start();
    /// The record says soon that the daemon leaves; does not wait for it.
    void beginLeaving();
    /// Takes the record away; does not wait for the store longer than @p longest.
    void withdraw(Millis longest);

private:
    void run();
    /// Grants a lease and writes the record under it.
    bool enter();
    /// One round; false after a failure.
    bool step();
    /// Waits for the next round, which comes at once where there is something to tell.
    void pause(bool well);
    /// The list named this daemon since it entered, and does not any more.
    bool fellOffList();

    LeasedStore &store_;
    DaemonRecord record_;
    Millis leaseTime_;
    std::function<bool()> ready_;
    std::function<bool()> stillListed_;
    std::uint64_t lease_ = noLease;
    bool wasListed_ = false;
    unsigned failures_ = 0;
    std::atomic<bool> leaving_{ false };
    std::atomic<bool> withdrawn_{ false };
    std::atomic<bool> ended_{ false };
    Thread thread_;
};

} // namespace Portpaddle
