// SPDX-FileCopyrightText: 2026 portpaddle contributors
// SPDX-License-Identifier: Apache-2.0

/// The ids of a stream's events, and their order.
#pragma once

#include <string_view>

namespace Portpaddle {

/// Returns the value of the last id line in @p events, a view of it; empty if there is none.
std::string_view lastIdIn(std::string_view events);
/// Whether the rest of a stream after the event with id @p last may go on with the event @p next, whose id may be empty.
bool mayFollow(std::string_view last, std::string_view next);

} // namespace Portpaddle
