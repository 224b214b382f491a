// SPDX-FileCopyrightText: 2026 portpaddle contributors
// SPDX-License-Identifier: Apache-2.0

#include "portpaddle/callers/memory_budget.h"

#include <algorithm>
#include <utility>

namespace Portpaddle {

MemoryBudget::MemoryBudget(std::size_t limitBytes) : limitBytes_(limitBytes)
{
}

void MemoryBudget::setLimit(std::size_t bytes)
{
    limitBytes_ = bytes;
}

bool MemoryBudget::take(std::size_t bytes)
{
    if (bytes > limitBytes_ - std::min(limitBytes_, usedBytes_)) {
        return false;
    }
    usedBytes_ += bytes;
    return true;
}

void MemoryBudget::giveBack(std::size_t bytes)
{
    usedBytes_ -= std::min(bytes, usedBytes_);
}

std::size_t MemoryBudget::usedBytes() const
{
    return usedBytes_;
}

MemoryShare::MemoryShare(MemoryBudget *budget) : budget_(budget)
{
}

MemoryShare::MemoryShare(MemoryShare &&other) noexcept : budget_(other.budget_), bytes_(std::exchange(other.bytes_, 0))
{
}

MemoryShare &MemoryShare::operator=(MemoryShare &&other) noexcept
{
    if (this != &other) {
        release();
        budget_ = other.budget_;
        bytes_ = std::exchange(other.bytes_, 0);
    }
    return *this;
}

MemoryShare::~MemoryShare()
{
    release();
}

bool MemoryShare::growTo(std::size_t bytes)
{
    if (bytes <= bytes_) {
        return true;
    }
    if (budget_ != nullptr && !budget_->take(bytes - bytes_)) {
        return false;
    }
    bytes_ = bytes;
    return true;
}

void MemoryShare::release()
{
    if (budget_ != nullptr) {
        budget_->giveBack(bytes_);
    }
    bytes_ = 0;
}

} // namespace Portpaddle
