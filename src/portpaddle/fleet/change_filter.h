// SPDX-FileCopyrightText: 2026 portpaddle contributors
// SPDX-License-Identifier: Apache-2.0

/// Selects the items of the store that a daemon keeps and relays.
#pragma once

#include "portpaddle/interfaces/watched_store.h"

namespace Portpaddle {

/// Must be safe to call from any one thread at a time.
class ChangeFilter
{
public:
    virtual ~ChangeFilter() = default;
    /// Whether the daemons of this region need @p item.
    virtual bool keeps(const KeyValue &item) const = 0;
    /// Names the selection: filters with the same scope keep the same items.
    virtual const std::string &scope() const = 0;
};

} // namespace Portpaddle
