// SPDX-FileCopyrightText: 2026 portpaddle contributors
// SPDX-License-Identifier: Apache-2.0

/// A bounded channel that carries one answer from the thread that produces it to the thread that serves the caller.
#pragma once

#include "portpaddle/base/error.h"
#include "portpaddle/interfaces/answer_sink.h"

#include <condition_variable>
#include <mutex>
#include <optional>
#include <string>

namespace Portpaddle {

/// What a read from the channel brought.
enum class ReadState { Data, Timeout, Complete, Failed };

/// One producer, one consumer. A full channel blocks its producer and nobody else.
class AnswerChannel : public AnswerSink
{
public:
    explicit AnswerChannel(std::size_t capacityBytes = 64 * 1024);

    bool head(const AnswerHead &head) override;
    bool data(std::string_view bytes) override;
    bool receiverGone() const override;
    void onReceiverGone(std::function<void()> hook) override;
    /// Ends the answer: whole, or with an error.
    void finish(const Status &outcome);

    /// Waits for the head; an error when the answer failed before it had one.
    Result<AnswerHead> awaitHead();
    /// Takes what has arrived, waiting up to @p timeout for something.
    ReadState read(std::string &into, Millis timeout);
    /// The error after ReadState::Failed.
    Error failure() const;
    /// The receiver goes away; the producer learns it at its next write, its hook is called now.
    void abandon();

private:
    const std::size_t capacity_;
    mutable std::mutex mutex_;
    std::condition_variable changed_;
    std::optional<AnswerHead> head_;
    std::string buffer_;
    std::optional<Status> outcome_;
    std::function<void()> goneHook_;
    bool gone_ = false;
};

} // namespace Portpaddle
