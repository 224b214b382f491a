// SPDX-FileCopyrightText: 2026 portpaddle contributors
// SPDX-License-Identifier: Apache-2.0

#include "portpaddle/net/bounded_body.h"

namespace Portpaddle {

BoundedBody::BoundedBody(std::size_t maxBytes, SteadyTime until) : maxBytes_(maxBytes), until_(until)
{
}

bool BoundedBody::append(const char *data, std::size_t size)
{
    if (size > maxBytes_ - bytes_.size() || BootClock::now() > until_) {
        return false;
    }
    bytes_.append(data, size);
    return true;
}

const std::string &BoundedBody::bytes() const
{
    return bytes_;
}

} // namespace Portpaddle
