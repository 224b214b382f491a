// SPDX-FileCopyrightText: 2026 portpaddle contributors
// SPDX-License-Identifier: Apache-2.0

// Records of upstreams as the store holds them: new incarnations under the same names, and damaged records.

#include "platform/fleet_listener.h"
#include "portpaddle/base/rcu_cell.h"
#include "portpaddle/placement/upstream_loads.h"

#include <doctest/doctest.h>
#include <fmt/format.h>
#include <rapidcheck.h>

using namespace Portpaddle;
using namespace std::chrono_literals;

namespace {

constexpr const char *validRecord
    = R"({"service":"m","address":"10.0.0.9:80","zone":"z1","version":"v1","slots":8,"state":"ready","coldRemainingMs":0,"sequence":4})";

std::string recordOfIncarnation(std::int64_t born, const std::string &state = "ready")
{
    return fmt::format(R"({{"service":"m","address":"10.0.0.9:80","zone":"z1","version":"v1","slots":8,"state":"{}",)"
                       R"("coldRemainingMs":0,"sequence":4,"born":{}}})",
                       state, born);
}

/// Applies changes of the store to a fleet view.
class StoreFixture
{
public:
    StoreFixture()
    {
        listener.onStoreAvailable();
    }

    void put(const std::string &upstream, const std::string &value)
    {
        listener.changed({ { { "servers/" + upstream, value, ++revision }, false } });
    }

    void list(const std::vector<std::pair<std::string, std::string>> &records)
    {
        std::vector<KeyValue> items;
        for (const auto &[upstream, value] : records) {
            items.push_back({ "servers/" + upstream, value, ++revision });
        }
        listener.listed(items);
    }

    /// Returns the incarnation registered under @p name; null if none is usable.
    const UpstreamRecord *find(const std::string &name) const
    {
        view = cell.read();
        for (const auto &[id, record] : view->upstreams) {
            if (record.registeredName == name) {
                return &record;
            }
        }
        return nullptr;
    }

    std::uint64_t revision = 0;
    mutable std::shared_ptr<const FleetView> view;
    RcuCell<FleetView> cell;
    FleetRegistry registry{ cell, [] {} };
    FleetListener listener{ registry, { { "z1", "north" } } };
};

/// Returns records with a field missing, of a wrong type or out of bounds, and texts that are no records.
std::vector<std::string> damagedRecords()
{
    const std::string valid = validRecord;
    std::vector<std::string> result{ "", "{", "[]", "null", "7", std::string("\xff\xfe\x00\x80", 4), valid.substr(0, 40) };
    const std::vector<std::pair<std::string, std::string>> fields{
        { R"("service":"m")", R"("service":7)" },
        { R"("address":"10.0.0.9:80")", R"("address":"somewhere")" },
        { R"("zone":"z1")", R"("zone":null)" },
        { R"("version":"v1")", R"("version":[])" },
        { R"("slots":8)", R"("slots":"8")" },
        { R"("state":"ready")", R"("state":"resting")" },
        { R"("coldRemainingMs":0)", R"("coldRemainingMs":-1)" },
        { R"("sequence":4)", R"("sequence":"4")" },
    };
    for (const auto &[field, other] : fields) {
        std::string changed = valid;
        changed.replace(changed.find(field), field.size(), other);
        result.push_back(changed);
        std::string missing = valid;
        missing.replace(missing.find(field), field.size(), R"("x":1)");
        result.push_back(missing);
    }
    result.push_back(valid.substr(0, valid.size() - 1) + R"(,"born":1.5})");
    result.push_back(valid.substr(0, valid.size() - 1) + R"(,"remainingMs":"soon"})");
    return result;
}

} // namespace

TEST_CASE_FIXTURE(StoreFixture, "Upstream, restarted under its name, is another incarnation that is not leaving")
{
    put("i-1", recordOfIncarnation(1000, "draining"));
    REQUIRE(find("i-1") != nullptr);
    const std::string earlier = find("i-1")->id;
    CHECK(find("i-1")->leaving);
    put("i-1", recordOfIncarnation(2000));
    REQUIRE(find("i-1") != nullptr);
    CHECK(find("i-1")->id != earlier);
    CHECK_FALSE(find("i-1")->leaving);
    CHECK_FALSE(find("i-1")->leavingSince.has_value());
    CHECK(view->upstreams.size() == 1);
}

TEST_CASE_FIXTURE(StoreFixture, "Upstream, same incarnation, keeps its leaving state")
{
    put("i-1", recordOfIncarnation(1000, "draining"));
    put("i-1", recordOfIncarnation(1000));
    CHECK(find("i-1")->leaving);
}

TEST_CASE_FIXTURE(StoreFixture, "Upstream, restarted, has none of the failures of its earlier incarnation")
{
    UpstreamLoads loads;
    ServiceSpec spec;
    put("i-1", recordOfIncarnation(1000));
    loads.keepOnly(*cell.read());
    const SteadyTime now{ 1h };
    for (int failure = 0; failure < 5; ++failure) {
        loads.connectFailed(find("i-1")->id, now);
    }
    CHECK(loads.describe(*find("i-1"), spec, {}, now).exclusionReason != ExclusionReason::None);
    put("i-1", recordOfIncarnation(2000));
    loads.keepOnly(*cell.read());
    CHECK(loads.describe(*find("i-1"), spec, {}, now).exclusionReason == ExclusionReason::None);
}

TEST_CASE_FIXTURE(StoreFixture, "Damaged record, in place of a valid one, removes the upstream until it is valid again")
{
    for (const std::string &damaged : damagedRecords()) {
        CAPTURE(damaged);
        put("i-1", validRecord);
        put("i-2", validRecord);
        REQUIRE(find("i-1") != nullptr);
        put("i-1", damaged);
        CHECK(find("i-1") == nullptr);
        CHECK(find("i-2") != nullptr);
        put("i-1", validRecord);
        CHECK(find("i-1") != nullptr);
    }
}

TEST_CASE_FIXTURE(StoreFixture, "Damaged record, in a listing, yields no upstream and keeps the others")
{
    for (const std::string &damaged : damagedRecords()) {
        CAPTURE(damaged);
        list({ { "i-1", validRecord }, { "i-2", validRecord } });
        list({ { "i-1", damaged }, { "i-2", validRecord } });
        CHECK(find("i-1") == nullptr);
        CHECK(find("i-2") != nullptr);
    }
}

TEST_CASE_FIXTURE(StoreFixture, "Damaged record, while the store is unavailable, removes the upstream as well")
{
    put("i-1", validRecord);
    listener.onStoreUnavailable(Error{ ErrorCode::PlatformUnavailable, "test", RunState::NotRun, {} });
    put("i-1", "{");
    CHECK(find("i-1") == nullptr);
}

TEST_CASE_FIXTURE(StoreFixture, "Record, any bytes or damage, throws nothing and leaves the others")
{
    put("i-2", validRecord);
    CHECK(rc::check([this](const std::string &bytes, bool cut) {
        std::string record = validRecord;
        const auto at = *rc::gen::inRange<std::size_t>(0, record.size());
        record = cut ? record.substr(0, at) : record.replace(at, std::min(bytes.size(), record.size() - at), bytes);
        put("i-1", record);
        RC_ASSERT(find("i-2") != nullptr);
        RC_ASSERT(find("i-2")->address == "10.0.0.9:80");
    }));
}
