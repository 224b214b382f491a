// SPDX-FileCopyrightText: 2026 portpaddle contributors
// SPDX-License-Identifier: Apache-2.0

/// A value that is read without locks and replaced as a whole.
#pragma once

#include <atomic>
#include <memory>
#include <mutex>

#include <urcu/urcu-bp.h>

namespace Portpaddle {

/// Holds an immutable value. Readers never block; a writer blocks until no reader can access the replaced value.
template<typename T>
class RcuCell
{
public:
    explicit RcuCell(std::shared_ptr<const T> initial = std::make_shared<const T>()) : current_(new Holder{ std::move(initial) })
    {
    }

    RcuCell(const RcuCell &) = delete;
    RcuCell &operator=(const RcuCell &) = delete;

    ~RcuCell()
    {
        delete current_.load();
    }

    /// Returns the current value, which stays valid for as long as the caller holds the pointer.
    std::shared_ptr<const T> read() const
    {
        urcu_bp_read_lock();
        std::shared_ptr<const T> value = current_.load(std::memory_order_acquire)->value;
        urcu_bp_read_unlock();
        return value;
    }

    /// Replaces the value. Concurrent writers are serialised.
    void publish(std::shared_ptr<const T> value)
    {
        auto *replacement = new Holder{ std::move(value) };
        const std::lock_guard lock(writers_);
        const Holder *previous = current_.exchange(replacement, std::memory_order_acq_rel);
        urcu_bp_synchronize_rcu();
        delete previous;
    }

private:
    struct Holder
    {
        std::shared_ptr<const T> value;
    };

    std::atomic<const Holder *> current_;
    std::mutex writers_;
};

} // namespace Portpaddle
