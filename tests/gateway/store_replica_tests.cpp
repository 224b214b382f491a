// SPDX-FileCopyrightText: 2026 portpaddle contributors
// SPDX-License-Identifier: Apache-2.0

// Copies of the store's contents, compared with a model of the store and its history.

#include "portpaddle/fleet/store_replica.h"

#include <doctest/doctest.h>
#include <fmt/format.h>
#include <rapidcheck.h>

#include <algorithm>
#include <map>
#include <memory>
#include <optional>
#include <string>
#include <vector>

using namespace Portpaddle;

namespace {

constexpr unsigned keyCount = 4;
constexpr unsigned daemonCount = 4;

std::string keyOf(unsigned index)
{
    return fmt::format("k{}", index);
}

/// A store with its whole history.
class ModelStore
{
public:
    void change(const std::string &key, bool removed)
    {
        const bool present = contentsAt(revision()).contains(key);
        if (removed && !present) {
            return;
        }
        const std::uint64_t next = revision() + 1;
        history_.push_back({ { key, removed ? std::string() : fmt::format("v{}", next), next }, removed });
    }

    std::uint64_t revision() const
    {
        return history_.size();
    }

    /// Makes the store forget its history so far.
    void compact()
    {
        forgottenTo_ = revision();
    }

    bool isForgotten(std::uint64_t revision) const
    {
        return revision < forgottenTo_;
    }

    std::map<std::string, KeyValue> contentsAt(std::uint64_t revision) const
    {
        std::map<std::string, KeyValue> contents;
        for (const KeyChange &change : history_) {
            if (change.item.revision > revision) {
                break;
            }
            if (change.removed) {
                contents.erase(change.item.key);
            } else {
                contents[change.item.key] = change.item;
            }
        }
        return contents;
    }

    std::vector<KeyValue> itemsAt(std::uint64_t revision) const
    {
        std::vector<KeyValue> items;
        for (const auto &[key, item] : contentsAt(revision)) {
            items.push_back(item);
        }
        return items;
    }

    /// Returns up to @p count changes after @p revision.
    std::vector<KeyChange> changesAfter(std::uint64_t revision, std::uint64_t count) const
    {
        std::vector<KeyChange> changes;
        for (std::uint64_t next = revision; next < history_.size() && changes.size() < count; ++next) {
            changes.push_back(history_[next]);
        }
        return changes;
    }

    const std::vector<KeyChange> &history() const
    {
        return history_;
    }

private:
    std::vector<KeyChange> history_;
    std::uint64_t forgottenTo_ = 0;
};

/// A daemon's replica, and the lowest revision that it may show of each key.
class ModelDaemon
{
public:
    void list(const ModelStore &store)
    {
        replica_->replace(store.itemsAt(store.revision()), store.revision());
        followed_ = store.revision();
        acknowledge(store.revision());
    }

    void follow(const ModelStore &store, std::uint64_t count)
    {
        if (followed_ == 0 || store.isForgotten(followed_)) {
            list(store);
            return;
        }
        const std::vector<KeyChange> changes = store.changesAfter(followed_, count);
        followed_ += changes.size();
        replica_->apply(changes, followed_);
        acknowledge(followed_);
    }

    void takeFrom(const ModelDaemon &other, StateCoverage coverage)
    {
        replica_->merge(other.replica_->state(), coverage);
        if (coverage == StateCoverage::AllKeys) {
            acknowledge(other.replica_->revision());
        }
    }

    /// Lists @p other in place of the store and follows the changes from there.
    void listFrom(const ModelDaemon &other)
    {
        takeFrom(other, StateCoverage::AllKeys);
        followed_ = other.replica_->revision();
    }

    void restart()
    {
        *this = ModelDaemon();
    }

    /// Whether no key is shown as it was before something that this daemon acknowledged or showed.
    bool isForward(const ModelStore &store)
    {
        std::map<std::string, KeyValue> shown;
        for (const KeyValue &item : replica_->items()) {
            shown[item.key] = item;
        }
        for (unsigned index = 0; index < keyCount; ++index) {
            const std::string key = keyOf(index);
            const auto found = shown.find(key);
            const auto revision = found == shown.end() ? earliestAbsence(store, key) : found->second.revision;
            if (!revision || *revision < earliestShown(store, key)) {
                return false;
            }
            lowest_[key] = std::max(lowest_[key], *revision);
        }
        return true;
    }

    bool equals(const ModelStore &store) const
    {
        const std::vector<KeyValue> items = replica_->items();
        const std::vector<KeyValue> expected = store.itemsAt(store.revision());
        return std::equal(items.begin(), items.end(), expected.begin(), expected.end(),
                          [](const KeyValue &left, const KeyValue &right) {
                              return left.key == right.key && left.value == right.value && left.revision == right.revision;
                          });
    }

private:
    void acknowledge(std::uint64_t revision)
    {
        acknowledged_ = std::max(acknowledged_, revision);
    }

    /// Returns the revision of the oldest change of @p key that this daemon may still show.
    std::uint64_t earliestShown(const ModelStore &store, const std::string &key)
    {
        std::uint64_t earliest = lowest_[key];
        for (const KeyChange &change : store.history()) {
            if (change.item.key == key && change.item.revision <= acknowledged_) {
                earliest = std::max(earliest, change.item.revision);
            }
        }
        return earliest;
    }

    /// Returns the first revision from the earliest that may be shown at which @p key was missing; no value if there is none.
    std::optional<std::uint64_t> earliestAbsence(const ModelStore &store, const std::string &key)
    {
        const std::uint64_t earliest = earliestShown(store, key);
        if (earliest == 0) {
            return 0;
        }
        for (const KeyChange &change : store.history()) {
            if (change.item.key == key && change.removed && change.item.revision >= earliest) {
                return change.item.revision;
            }
        }
        return std::nullopt;
    }

    std::shared_ptr<StoreReplica> replica_ = std::make_shared<StoreReplica>();
    std::uint64_t followed_ = 0;
    std::uint64_t acknowledged_ = 0;
    std::map<std::string, std::uint64_t> lowest_;
};

enum class Step { Put, Remove, Follow, List, Compact, TakeState, TakePartialState, ListFromOther, Restart };

/// Makes one random step of the store or of a daemon.
void makeStep(ModelStore &store, std::vector<ModelDaemon> &daemons)
{
    const auto step = *rc::gen::weightedElement<Step>({ { 6, Step::Put },
                                                        { 4, Step::Remove },
                                                        { 8, Step::Follow },
                                                        { 1, Step::List },
                                                        { 1, Step::Compact },
                                                        { 6, Step::TakeState },
                                                        { 3, Step::TakePartialState },
                                                        { 1, Step::ListFromOther },
                                                        { 1, Step::Restart } });
    const std::string key = keyOf(*rc::gen::inRange(0U, keyCount));
    ModelDaemon &daemon = daemons[*rc::gen::inRange(0U, daemonCount)];
    const ModelDaemon &other = daemons[*rc::gen::inRange(0U, daemonCount)];
    constexpr std::uint64_t mostChanges = 4;
    switch (step) {
    case Step::Put:
        return store.change(key, false);
    case Step::Remove:
        return store.change(key, true);
    case Step::Follow:
        return daemon.follow(store, *rc::gen::inRange<std::uint64_t>(1, mostChanges));
    case Step::List:
        return daemon.list(store);
    case Step::Compact:
        return store.compact();
    case Step::TakeState:
        return daemon.takeFrom(other, StateCoverage::AllKeys);
    case Step::TakePartialState:
        return daemon.takeFrom(other, StateCoverage::SomeKeys);
    case Step::ListFromOther:
        return daemon.listFrom(other);
    case Step::Restart:
        return daemon.restart();
    }
}

} // namespace

TEST_CASE("Store replica, random cuts states and restarts, never goes back behind what it acknowledged and ends like the store")
{
    CHECK(rc::check([] {
        ModelStore store;
        std::vector<ModelDaemon> daemons(daemonCount);
        const auto steps = *rc::gen::inRange(1, 120);
        for (int step = 0; step < steps; ++step) {
            makeStep(store, daemons);
            for (ModelDaemon &daemon : daemons) {
                RC_ASSERT(daemon.isForward(store));
            }
        }
        for (ModelDaemon &daemon : daemons) {
            daemon.follow(store, store.revision() + 1);
            RC_ASSERT(daemon.equals(store));
        }
    }));
}

TEST_CASE("Store replica, listing of the store, corrects a state with a revision that the store never had")
{
    StoreReplica replica;
    replica.merge({ { { "a", "1", 900 } }, 1'000, {} }, StateCoverage::AllKeys);
    replica.replace({ { "b", "1", 2 } }, 3);
    CHECK(replica.revision() == 3);
    CHECK_FALSE(replica.contains("a"));
    CHECK(replica.apply({ { { "a", "2", 4 }, false } }, 4).size() == 1);
}

TEST_CASE("Store replica, item removed by a state, is not brought back by changes before that state")
{
    StoreReplica replica;
    replica.replace({ { "a", "1", 1 } }, 1);
    CHECK(replica.merge({ { { "b", "1", 4 } }, 5, {} }, StateCoverage::AllKeys).size() == 2);
    CHECK(replica.apply({ { { "a", "2", 2 }, false }, { { "a", {}, 3 }, true } }, 3).empty());
    CHECK_FALSE(replica.contains("a"));
    CHECK(replica.apply({ { { "a", "3", 6 }, false } }, 6).size() == 1);
}
