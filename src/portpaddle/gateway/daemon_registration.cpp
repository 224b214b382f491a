// SPDX-FileCopyrightText: 2026 portpaddle contributors
// SPDX-License-Identifier: Apache-2.0

#include "portpaddle/gateway/daemon_registration.h"

#include <nlohmann/json.hpp>

#include <algorithm>
#include <thread>

namespace Portpaddle {

namespace {

using Json = nlohmann::json;

// A daemon that died disappears from the list after this; the others notice its silence within two seconds. Each renewal is paid
// for: 295 daemons made 3,109 calls to the store in a minute with trouble, and 5,416 with a lease of 6.5 s.
constexpr Millis usualLease{ 15'000 };
constexpr Millis pauseStep{ 100 };
constexpr Millis shortStep{ 5 };
// Half of the lease is left for tries after a renewal that failed.
constexpr Millis betweenRenewals{ 6'500 };
// After failures in a row; a store that is back hears of every daemon within a second and a bit.
constexpr Millis pauseAfterFailure{ 200 };
constexpr Millis longestPauseAfterFailure{ 1'000 };
constexpr unsigned maxDoublings = 3;

} // namespace

std::string encodeDaemonRecord(const DaemonRecord &record)
{
    const Json json = { { "id", record.id },
                        { "region", record.region },
                        { "data_centre", record.dataCentre },
                        { "entry", record.entryAddress },
                        { "link", record.linkAddress },
                        { "leaving", record.leaving },
                        { "strength", record.cpuCores } };
    return json.dump();
}

Result<DaemonRecord> decodeDaemonRecord(const std::string &text)
{
    try {
        const Json json = Json::parse(text);
        DaemonRecord record;
        record.id = json.at("id").get<std::string>();
        record.region = json.at("region").get<std::string>();
        record.dataCentre = json.at("data_centre").get<std::string>();
        record.entryAddress = json.at("entry").get<std::string>();
        record.linkAddress = json.at("link").get<std::string>();
        record.leaving = json.value("leaving", false);
        record.cpuCores = json.value("strength", 0.0);
        return record;
    } catch (const Json::exception &exception) {
        return Error{ ErrorCode::SettingsInvalid, std::string("a daemon's record: ") + exception.what(), RunState::NotRun, {} };
    }
}

DaemonRegistration::DaemonRegistration(LeasedStore &store, DaemonRecord record, Millis shortestLease, std::function<bool()> ready,
                                       std::function<bool()> stillListed)
    : store_(store)
    , record_(std::move(record))
    , leaseTime_(std::max(usualLease, shortestLease))
    , ready_(std::move(ready))
    , stillListed_(std::move(stillListed))
{
}

DaemonRegistration::~DaemonRegistration()
{
    withdrawn_ = true;
    thread_.join();
}

void DaemonRegistration::start()
{
    thread_ = Thread("register", [this] { run(); });
}

void DaemonRegistration::beginLeaving()
{
    leaving_ = true;
}

void DaemonRegistration::withdraw(Millis longest)
{
    withdrawn_ = true;
    for (Millis waited{ 0 }; waited < longest && !ended_; waited += shortStep) {
        std::this_thread::sleep_for(shortStep);
    }
}

bool DaemonRegistration::enter()
{
    const Result<LeaseGrant> grant = store_.grantLease(leaseTime_);
    if (!isOk(grant)) {
        return false;
    }
    lease_ = valueOf(grant).id;
    const Result<std::uint64_t> written = store_.write(daemonRecordPrefix + record_.id, encodeDaemonRecord(record_), lease_);
    if (!isOk(written)) {
        lease_ = noLease;
        return false;
    }
    wasListed_ = false;
    return true;
}

bool DaemonRegistration::step()
{
    if (lease_ == noLease) {
        return !ready_() || enter();
    }
    if (leaving_ && !record_.leaving) {
        record_.leaving = true;
        return isOk(store_.write(daemonRecordPrefix + record_.id, encodeDaemonRecord(record_), lease_));
    }
    const Status kept = store_.keepLease(lease_);
    // A write of an earlier life may have replaced the record and lapsed with its lease: the list tells.
    const bool over = isOk(kept) ? !stillListed_() : errorOf(kept).code == ErrorCode::NotFound;
    if (over) {
        lease_ = noLease;
        return enter();
    }
    return isOk(kept);
}

bool DaemonRegistration::fellOffList()
{
    const bool listed = stillListed_();
    const bool fell = wasListed_ && !listed;
    wasListed_ = listed;
    return fell;
}

void DaemonRegistration::pause(bool well)
{
    failures_ = well ? 0 : failures_ + 1;
    const Millis afterFailure = std::min(pauseAfterFailure * (1U << std::min(failures_, maxDoublings)), longestPauseAfterFailure);
    // By the clock, not by steps: a VM that was suspended may have lost its lease, and has to say so before anything else.
    const SteadyTime until = BootClock::now() + (well ? betweenRenewals : afterFailure);
    while (BootClock::now() < until && !withdrawn_) {
        const bool leavingUntold = leaving_ && !record_.leaving;
        if (well && (leavingUntold || fellOffList())) {
            break;
        }
        std::this_thread::sleep_for(pauseStep);
    }
}

void DaemonRegistration::run()
{
    while (!withdrawn_) {
        pause(step() && lease_ != noLease);
    }
    if (lease_ != noLease) {
        // If this fails, the lease lapses by itself.
        (void)store_.revokeLease(lease_);
        lease_ = noLease;
    }
    ended_ = true;
}

} // namespace Portpaddle
