// SPDX-FileCopyrightText: 2026 portpaddle contributors
// SPDX-License-Identifier: Apache-2.0

/// A map whose copies share all entries that did not change between them.
#pragma once

#include <array>
#include <bitset>
#include <cstddef>
#include <functional>
#include <memory>
#include <stdexcept>
#include <string>
#include <unordered_map>
#include <utility>

namespace Portpaddle {

/// Maps texts to values, divided into shards. A copy costs one pointer for each shard, and a change after it copies one shard. A
/// copy may be read on other threads while the original changes; copying itself counts as a change of the original.
template<typename Value>
class CopyOnWriteMap
{
public:
    using Shard = std::unordered_map<std::string, Value>;

    /// Some thousand entries make shards of a few dozen.
    static constexpr std::size_t shardCount = 256;

    /// Visits the entries shard by shard.
    class Iterator
    {
    public:
        using Inner = typename Shard::const_iterator;

        Iterator(const CopyOnWriteMap &map, std::size_t shard) : map_(&map), shard_(shard)
        {
            enterShard();
        }

        Iterator(const CopyOnWriteMap &map, std::size_t shard, Inner inner) : map_(&map), shard_(shard), inner_(inner)
        {
        }

        const typename Shard::value_type &operator*() const
        {
            return *inner_;
        }

        const typename Shard::value_type *operator->() const
        {
            return &*inner_;
        }

        Iterator &operator++()
        {
            ++inner_;
            if (inner_ == map_->shards_[shard_]->end()) {
                ++shard_;
                enterShard();
            }
            return *this;
        }

        bool operator==(const Iterator &other) const
        {
            return shard_ == other.shard_ && (shard_ == shardCount || inner_ == other.inner_);
        }

    private:
        /// Moves to the first entry of the current shard or of the next one that has any.
        void enterShard()
        {
            while (shard_ < shardCount && (!map_->shards_[shard_] || map_->shards_[shard_]->empty())) {
                ++shard_;
            }
            if (shard_ < shardCount) {
                inner_ = map_->shards_[shard_]->begin();
            }
        }

        const CopyOnWriteMap *map_;
        std::size_t shard_;
        Inner inner_{};
    };

    CopyOnWriteMap() = default;
    CopyOnWriteMap(const CopyOnWriteMap &other) : shards_(other.shards_), size_(other.size_)
    {
        other.owned_.reset();
    }

    CopyOnWriteMap &operator=(const CopyOnWriteMap &other)
    {
        if (this != &other) {
            shards_ = other.shards_;
            size_ = other.size_;
            owned_.reset();
            other.owned_.reset();
        }
        return *this;
    }

    CopyOnWriteMap(CopyOnWriteMap &&) noexcept = default;
    CopyOnWriteMap &operator=(CopyOnWriteMap &&) noexcept = default;
    ~CopyOnWriteMap() = default;

    Iterator begin() const
    {
        return Iterator(*this, 0);
    }

    Iterator end() const
    {
        return Iterator(*this, shardCount);
    }

    Iterator find(const std::string &key) const
    {
        const std::size_t index = shardOfKey(key);
        if (!shards_[index]) {
            return end();
        }
        const auto found = shards_[index]->find(key);
        return found == shards_[index]->end() ? end() : Iterator(*this, index, found);
    }

    bool contains(const std::string &key) const
    {
        const auto &shard = shards_[shardOfKey(key)];
        return shard && shard->contains(key);
    }

    /// Returns the value of @p key; throws std::out_of_range if there is none.
    const Value &at(const std::string &key) const
    {
        const auto &shard = shards_[shardOfKey(key)];
        if (!shard) {
            throw std::out_of_range("no such key");
        }
        return shard->at(key);
    }

    std::size_t size() const
    {
        return size_;
    }

    bool empty() const
    {
        return size_ == 0;
    }

    Value &operator[](const std::string &key)
    {
        Shard &shard = writableShard(shardOfKey(key));
        const auto [entry, added] = shard.try_emplace(key);
        size_ += added ? 1 : 0;
        return entry->second;
    }

    /// Returns whether there was such an entry.
    bool erase(const std::string &key)
    {
        if (!contains(key)) {
            return false;
        }
        writableShard(shardOfKey(key)).erase(key);
        --size_;
        return true;
    }

    /// Calls @p visit with the shard of this map and that of @p earlier, for each shard that the two maps do not share.
    template<typename Visit>
    void forEachChangedShard(const CopyOnWriteMap &earlier, Visit visit) const
    {
        static const Shard empty;
        for (std::size_t index = 0; index < shardCount; ++index) {
            const std::shared_ptr<Shard> &own = shards_[index];
            const std::shared_ptr<Shard> &other = earlier.shards_[index];
            if (own != other) {
                visit(own ? std::as_const(*own) : empty, other ? std::as_const(*other) : empty);
            }
        }
    }

    bool sharesAllWith(const CopyOnWriteMap &other) const
    {
        return shards_ == other.shards_;
    }

private:
    static std::size_t shardOfKey(const std::string &key)
    {
        return std::hash<std::string>{}(key) % shardCount;
    }

    /// Returns a shard that no copy of the map shares.
    Shard &writableShard(std::size_t index)
    {
        std::shared_ptr<Shard> &shard = shards_[index];
        if (!owned_[index]) {
            shard = shard ? std::make_shared<Shard>(*shard) : std::make_shared<Shard>();
            owned_.set(index);
        }
        return *shard;
    }

    std::array<std::shared_ptr<Shard>, shardCount> shards_;
    /// The shards that were copied or made since the last copy of the map.
    mutable std::bitset<shardCount> owned_;
    std::size_t size_ = 0;
};

} // namespace Portpaddle
