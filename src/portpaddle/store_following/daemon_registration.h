// SPDX-FileCopyrightText: 2026 portpaddle contributors
// SPDX-License-Identifier: Apache-2.0

/// Keeps this daemon's record in the store under a lease.
#pragma once

#include "portpaddle/base/thread.h"
#include "portpaddle/interfaces/leased_store.h"
#include "portpaddle/store_following/fleet_view.h"

#include <atomic>
#include <functional>

namespace Portpaddle {

/// Key prefix of the daemons' records in the store.
inline constexpr const char *daemonRecordPrefix = "portpaddle/daemons/";

std::string encodeDaemonRecord(const DaemonRecord &record);
/// Parses a stored record; returns an error if @p text is invalid.
Result<DaemonRecord> decodeDaemonRecord(const std::string &text);

/// Maintains the record on its own thread until withdraw() is called.
class DaemonRegistration
{
public:
    /// Registers the daemon once @p ready returns true; @p isListed returns whether the store's list names this daemon.
    DaemonRegistration(LeasedStore &store, DaemonRecord record, Millis shortestLease, std::function<bool()> ready,
                       std::function<bool()> isListed);
    ~DaemonRegistration();

    void start();
    /// Marks the record as leaving; does not wait for the write to the store.
    void beginLeaving();
    /// Removes the record; waits for the store for at most @p maxWait.
    void withdraw(Millis maxWait);

private:
    void run();
    /// Requests a lease and writes the record under it; returns false if either fails.
    bool registerDaemon();
    /// Registers, renews or updates the record; returns false after a failure.
    bool step();
    /// Waits until the next step is due, which is at once if the record must be written.
    void waitForNextStep(bool succeeded);
    /// Whether the list no longer names this daemon although it did since the registration.
    bool disappearedFromList();

    LeasedStore &store_;
    DaemonRecord record_;
    Millis leaseTime_;
    std::function<bool()> ready_;
    std::function<bool()> isListed_;
    std::uint64_t lease_ = noLease;
    bool wasListed_ = false;
    unsigned failures_ = 0;
    std::atomic<bool> leaving_{ false };
    std::atomic<bool> withdrawn_{ false };
    std::atomic<bool> ended_{ false };
    Thread thread_;
};

} // namespace Portpaddle
