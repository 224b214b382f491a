// SPDX-FileCopyrightText: 2026 portpaddle contributors
// SPDX-License-Identifier: Apache-2.0

/// Scheduling classes of requests, by which daemons count load and upstreams order their prefills.
#pragma once

#include <array>
#include <cstddef>
#include <string_view>

namespace Portpaddle {

/// Scheduling classes of requests: an upstream prefills all prompts of one class before those of the next.
enum class Urgency { Urgent, Usual, Patient, Late };
inline constexpr std::size_t urgencyCount = 4;
std::string_view nameOf(Urgency urgency);

/// Number of classes of requests that can meet their target; the last class is for the others.
inline constexpr std::size_t timelyUrgencyCount = urgencyCount - 1;

} // namespace Portpaddle
