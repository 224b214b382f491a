// SPDX-FileCopyrightText: 2026 portpaddle contributors
// SPDX-License-Identifier: Apache-2.0

#include "portpaddle/dispatch/answer_channel.h"

namespace Portpaddle {

AnswerChannel::AnswerChannel(std::size_t capacityBytes) : capacity_(capacityBytes)
{
}

bool AnswerChannel::head(const AnswerHead &head)
{
    const std::lock_guard lock(mutex_);
    head_ = head;
    changed_.notify_all();
    return !receiverGone_;
}

bool AnswerChannel::data(std::string_view bytes)
{
    std::unique_lock lock(mutex_);
    changed_.wait(lock, [&] { return receiverGone_ || buffer_.size() < capacity_; });
    if (receiverGone_) {
        return false;
    }
    buffer_.append(bytes);
    changed_.notify_all();
    return true;
}

bool AnswerChannel::receiverGone() const
{
    const std::lock_guard lock(mutex_);
    return receiverGone_;
}

void AnswerChannel::onReceiverGone(std::function<void()> hook)
{
    const std::lock_guard lock(mutex_);
    receiverGoneHook_ = std::move(hook);
    if (receiverGone_ && receiverGoneHook_) {
        receiverGoneHook_();
    }
}

void AnswerChannel::finish(const Status &outcome)
{
    const std::lock_guard lock(mutex_);
    outcome_ = outcome;
    changed_.notify_all();
}

Result<AnswerHead> AnswerChannel::awaitHead()
{
    std::unique_lock lock(mutex_);
    changed_.wait(lock, [&] { return head_ || outcome_; });
    if (head_) {
        return *head_;
    }
    if (isOk(*outcome_)) {
        return Error{ ErrorCode::Internal, "the answer ended before its status and headers", RunState::MayHaveRun, std::nullopt };
    }
    return errorOf(*outcome_);
}

ReadState AnswerChannel::read(std::string &into, Millis timeout)
{
    std::unique_lock lock(mutex_);
    changed_.wait_for(lock, timeout, [&] { return !buffer_.empty() || outcome_; });
    if (!buffer_.empty()) {
        into.swap(buffer_);
        buffer_.clear();
        changed_.notify_all();
        return ReadState::Data;
    }
    if (!outcome_) {
        return ReadState::Timeout;
    }
    return isOk(*outcome_) ? ReadState::Complete : ReadState::Failed;
}

Error AnswerChannel::failure() const
{
    const std::lock_guard lock(mutex_);
    return outcome_ && !isOk(*outcome_) ? errorOf(*outcome_) : Error{};
}

void AnswerChannel::abandon()
{
    const std::lock_guard lock(mutex_);
    if (receiverGone_) {
        return;
    }
    receiverGone_ = true;
    changed_.notify_all();
    if (receiverGoneHook_) {
        receiverGoneHook_();
    }
}

} // namespace Portpaddle
