// SPDX-FileCopyrightText: 2026 portpaddle contributors
// SPDX-License-Identifier: Apache-2.0

/// Bounds the memory that a daemon holds for peers, which may send or read slowly.
#pragma once

#include <cstddef>

namespace Portpaddle {

/// Counts bytes against a limit. Belongs to one event loop.
class MemoryBudget
{
public:
    explicit MemoryBudget(std::size_t limitBytes = 64 * 1024 * 1024);

    /// Sets the limit; bytes already taken stay counted even if they exceed it.
    void setLimit(std::size_t bytes);
    /// Takes @p bytes; returns false and takes nothing if the limit would be exceeded.
    bool take(std::size_t bytes);
    void giveBack(std::size_t bytes);
    std::size_t usedBytes() const;

private:
    std::size_t limitBytes_;
    std::size_t usedBytes_ = 0;
};

/// The bytes that one buffer takes from a budget; given back at the end of the share's life. The budget must outlive the share.
class MemoryShare
{
public:
    /// A share without a budget is not bounded.
    explicit MemoryShare(MemoryBudget *budget = nullptr);
    MemoryShare(MemoryShare &&other) noexcept;
    MemoryShare &operator=(MemoryShare &&other) noexcept;
    MemoryShare(const MemoryShare &) = delete;
    MemoryShare &operator=(const MemoryShare &) = delete;
    ~MemoryShare();

    /// Raises the share to @p bytes; returns false and leaves it unchanged if the budget has too little left.
    bool growTo(std::size_t bytes);
    /// Gives all bytes back.
    void release();

private:
    MemoryBudget *budget_;
    std::size_t bytes_ = 0;
};

} // namespace Portpaddle
