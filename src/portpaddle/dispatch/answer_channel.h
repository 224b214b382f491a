// SPDX-FileCopyrightText: 2026 portpaddle contributors
// SPDX-License-Identifier: Apache-2.0

/// A bounded channel that transfers one answer from the thread that produces it to the thread that serves the caller.
#pragma once

#include "portpaddle/base/error.h"
#include "portpaddle/interfaces/answer_sink.h"

#include <condition_variable>
#include <mutex>
#include <optional>
#include <string>

namespace Portpaddle {

/// The result of a read from the channel.
enum class ReadState { Data, Timeout, Complete, Failed };

/// Has one producer and one consumer. A full channel blocks only its producer.
class AnswerChannel : public AnswerSink
{
public:
    explicit AnswerChannel(std::size_t capacityBytes = 64 * 1024);

    bool head(const AnswerHead &head) override;
    bool data(std::string_view bytes) override;
    bool receiverGone() const override;
    void onReceiverGone(std::function<void()> hook) override;
    /// Ends the answer, as complete or with an error.
    void finish(const Status &outcome);

    /// Waits for status and headers. Returns an error if the answer ended before they arrived.
    Result<AnswerHead> awaitHead();
    /// Replaces @p into by the data that has arrived, after waiting up to @p timeout for any.
    ReadState read(std::string &into, Millis timeout);
    /// Returns the error after ReadState::Failed.
    Error failure() const;
    /// Marks the receiver as gone: calls the producer's hook at once, and makes its next write fail.
    void abandon();

private:
    const std::size_t capacity_;
    mutable std::mutex mutex_;
    std::condition_variable changed_;
    std::optional<AnswerHead> head_;
    std::string buffer_;
    std::optional<Status> outcome_;
    std::function<void()> receiverGoneHook_;
    bool receiverGone_ = false;
};

} // namespace Portpaddle
