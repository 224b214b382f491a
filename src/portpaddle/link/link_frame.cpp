// SPDX-FileCopyrightText: 2026 portpaddle contributors
// SPDX-License-Identifier: Apache-2.0

#include "portpaddle/link/link_frame.h"

#include "portpaddle/base/metrics.h"

#include <cerrno>
#include <cstring>

#include <fcntl.h>
#include <fmt/format.h>
#include <netinet/tcp.h>
#include <poll.h>
#include <sys/socket.h>
#include <sys/time.h>
#include <unistd.h>

namespace Portpaddle {

namespace {

using LengthWord = std::uint32_t;
/// A peer that accepts no byte for this long is disconnected: its process is frozen or the network path is lost.
constexpr timeval writeTimeout{ 5, 0 };

Error unreachable(const SocketAddress &address)
{
    return Error{ ErrorCode::PeerUnreachable, fmt::format("{} cannot be reached", toText(address)), RunState::NotRun,
                  std::nullopt };
}

} // namespace

FrameSocket::FrameSocket(int descriptor, Metrics &metrics) : descriptor_(descriptor), metrics_(metrics)
{
    const int enabled = 1;
    setsockopt(descriptor_, IPPROTO_TCP, TCP_NODELAY, &enabled, sizeof enabled);
    setsockopt(descriptor_, SOL_SOCKET, SO_SNDTIMEO, &writeTimeout, sizeof writeTimeout);
}

FrameSocket::~FrameSocket()
{
    close(descriptor_);
}

Result<int> FrameSocket::connectTo(const SocketAddress &address, Millis timeout)
{
    const int descriptor = socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC | SOCK_NONBLOCK, 0);
    if (descriptor < 0) {
        return unreachable(address);
    }
    const sockaddr_in native = toNative(address);
    const int status = connect(descriptor, reinterpret_cast<const sockaddr *>(&native), sizeof native);
    if (status != 0 && errno != EINPROGRESS) {
        close(descriptor);
        return unreachable(address);
    }
    pollfd waiting{ descriptor, POLLOUT, 0 };
    int failure = 0;
    socklen_t length = sizeof failure;
    const bool ready = poll(&waiting, 1, static_cast<int>(timeout.count())) == 1;
    getsockopt(descriptor, SOL_SOCKET, SO_ERROR, &failure, &length);
    if (!ready || failure != 0) {
        close(descriptor);
        return unreachable(address);
    }
    fcntl(descriptor, F_SETFL, fcntl(descriptor, F_GETFL) & ~O_NONBLOCK);
    return descriptor;
}

bool FrameSocket::write(const Wire::LinkFrameT &frame)
{
    flatbuffers::FlatBufferBuilder builder(1024);
    builder.Finish(Wire::LinkFrame::Pack(builder, &frame));
    const LengthWord length = builder.GetSize();
    std::string bytes(reinterpret_cast<const char *>(&length), sizeof length);
    bytes.append(reinterpret_cast<const char *>(builder.GetBufferPointer()), length);
    const std::lock_guard lock(writeMutex_);
    std::size_t sent = 0;
    while (sent < bytes.size()) {
        const ssize_t count = send(descriptor_, bytes.data() + sent, bytes.size() - sent, MSG_NOSIGNAL);
        if (count <= 0) {
            // Part of the frame may have been sent, so nothing may follow it.
            shutDown();
            return false;
        }
        sent += static_cast<std::size_t>(count);
    }
    metrics_.count(Counter::LinkFramesSent);
    metrics_.count(Counter::LinkBytesSent, bytes.size());
    return true;
}

std::optional<Wire::LinkFrameT> FrameSocket::read(std::size_t maxBytes)
{
    LengthWord length = 0;
    if (!readExactly(reinterpret_cast<char *>(&length), sizeof length) || length == 0 || length > maxBytes) {
        return std::nullopt;
    }
    std::vector<std::uint8_t> bytes(length);
    if (!readExactly(reinterpret_cast<char *>(bytes.data()), length)) {
        return std::nullopt;
    }
    metrics_.count(Counter::LinkBytesReceived, length + sizeof length);
    flatbuffers::Verifier verifier(bytes.data(), bytes.size());
    if (!Wire::VerifyLinkFrameBuffer(verifier)) {
        return std::nullopt;
    }
    Wire::LinkFrameT frame;
    Wire::GetLinkFrame(bytes.data())->UnPackTo(&frame);
    return frame;
}

void FrameSocket::setReadTimeout(Millis timeout)
{
    const timeval native{ timeout.count() / 1000, (timeout.count() % 1000) * 1000 };
    setsockopt(descriptor_, SOL_SOCKET, SO_RCVTIMEO, &native, sizeof native);
}

void FrameSocket::shutDown()
{
    shutdown(descriptor_, SHUT_RDWR);
}

bool FrameSocket::readExactly(char *into, std::size_t size)
{
    std::size_t received = 0;
    while (received < size) {
        const ssize_t count = recv(descriptor_, into + received, size - received, 0);
        if (count < 0 && errno == EINTR) {
            continue;
        }
        if (count <= 0) {
            return false;
        }
        received += static_cast<std::size_t>(count);
    }
    return true;
}

} // namespace Portpaddle
