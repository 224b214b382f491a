// SPDX-FileCopyrightText: 2026 portpaddle contributors
// SPDX-License-Identifier: Apache-2.0

#include "portpaddle/settings/schema.h"

#include "portpaddle/base/name_table.h"

#include <algorithm>
#include <array>
#include <numeric>
#include <vector>

namespace Portpaddle {

namespace {

constexpr NameTable<NodeKind, 7> nodeKindNames{ { "root", "region", "data_centre", "upstream", "service", "organisation",
                                                  "organisation_service" } };
constexpr NameTable<ValueType, 7> valueTypeNames{ { "number", "integer", "boolean", "text", "choice", "list of texts",
                                                    "map of numbers" } };

constexpr unsigned atUpstream = bitOf(NodeKind::Upstream);
constexpr unsigned atService = bitOf(NodeKind::Service);
constexpr unsigned atPlace = bitOf(NodeKind::Region) | bitOf(NodeKind::DataCentre);
constexpr unsigned atRequest
    = bitOf(NodeKind::Root) | bitOf(NodeKind::Service) | bitOf(NodeKind::Organisation) | bitOf(NodeKind::OrganisationService);
constexpr unsigned atRequestOrPlace = atRequest | atPlace;
constexpr double maxLimit = 1e9;
constexpr double maxMillis = 86'400'000;

// The keys must be sorted by name: the reference page and the nearest-key search rely on the order.
constexpr std::array<KeyDescription, 29> schema{ {
    { "address", ValueType::Text, "host:port", 0, 0, "", "", atUpstream,
      "Address on which the upstream listens, as an IP address and a port." },
    { "at_most_once", ValueType::TextList, "METHOD path", 0, 0, "[]", "", atService,
      "Calls that must not run twice: a method and a path; a path ending in * covers every path below it." },
    { "away_margin_ms", ValueType::Number, "ms", 0, maxMillis, "20", "", atRequestOrPlace,
      "How much better another data centre must score before a request is forwarded to it." },
    { "away_weight", ValueType::Number, "1", 0, 1000, "1", "", atRequestOrPlace,
      "Weight of forwarding a request to another region." },
    { "checks_fence", ValueType::Boolean, "", 0, 0, "true", "", atUpstream,
      "Whether the engine itself refuses orders with an outdated fencing token." },
    { "checks_repeat_key", ValueType::Boolean, "", 0, 0, "false", "", atService,
      "Whether the upstreams themselves refuse a second call with the same Idempotency-Key." },
    { "class", ValueType::Choice, "", 0, 0, "\"interactive\"", "interactive|deferrable", atRequest,
      "Whether a person waits for the answer, or the work may wait but must finish." },
    { "cost_weight", ValueType::Number, "1", 0, 1000, "1", "", atRequestOrPlace,
      "Weight of the computation spent, mainly because of cold caches." },
    { "deadline_ms", ValueType::Integer, "ms", 1, maxMillis, "120000", "", atRequest,
      "Maximum time from the arrival of a request to the last byte of its answer." },
    { "display_name", ValueType::Text, "", 0, 0, "\"\"", "", ~0U, "Human-readable name." },
    { "hop_limit", ValueType::Integer, "hops", 0, 8, "2", "", atRequest,
      "Maximum number of times that a request is forwarded between data centres." },
    { "kind", ValueType::Choice, "", 0, 0, "\"model\"", "model|plain", atService,
      "Whether engines or plain upstreams serve the service." },
    { "latency_weight", ValueType::Number, "1", 0, 1000, "1", "", atRequestOrPlace,
      "Weight of the predicted time to the first byte." },
    { "link_ms", ValueType::NumberMap, "ms", 0, 10'000, "{}", "", bitOf(NodeKind::Region),
      "One-way latency to other regions, by name; regions not listed count as 50 ms." },
    { "max_attempts", ValueType::Integer, "attempts", 1, 10, "3", "", atRequest,
      "Maximum number of upstreams tried for one request in one data centre." },
    { "max_concurrent", ValueType::Integer, "requests", 0, maxLimit, "0", "", atRequest,
      "Maximum number of requests of an organisation in progress over all daemons; 0 means no limit." },
    { "max_requests_per_second", ValueType::Number, "requests/s", 0, maxLimit, "0", "", atRequest,
      "Maximum number of requests of an organisation per second over all daemons; 0 means no limit." },
    { "max_tokens_per_second", ValueType::Number, "tokens/s", 0, maxLimit, "0", "", atRequest,
      "Maximum number of prompt and answer tokens of an organisation per second over all daemons; 0 means no limit." },
    { "path_prefix", ValueType::Text, "", 0, 0, "\"\"", "", atService,
      "Prefix of the paths of a plain service; empty for models." },
    { "prefill_tokens_per_second", ValueType::Number, "tokens/s", 1, maxLimit, "20000", "", atRequestOrPlace,
      "Rate at which an engine processes a prompt that is not cached." },
    { "queue_limit_ms", ValueType::Integer, "ms", 0, maxMillis, "2000", "", atRequest,
      "Maximum predicted wait at which an interactive request is still accepted." },
    { "repeatable_methods", ValueType::TextList, "", 0, 0, "[\"GET\", \"HEAD\", \"OPTIONS\"]", "", atService,
      "Methods of a plain service that may be retried when it is not known whether the call ran." },
    { "residency", ValueType::TextList, "regions", 0, 0, "[]", "", atRequest,
      "Regions in which a request and its data may be; an empty list allows every region." },
    { "retry_budget_percent", ValueType::Number, "%", 0, 100, "10", "", atRequestOrPlace,
      "Maximum number of retries per hundred requests of a daemon." },
    { "services", ValueType::TextList, "service@version", 0, 0, "[]", "", atUpstream,
      "Services that the upstream offers; the version is optional." },
    { "slots", ValueType::Integer, "requests", 1, 100'000, "8", "", atUpstream,
      "Number of requests that the upstream runs at the same time." },
    { "state", ValueType::Choice, "", 0, 0, "\"serving\"", "serving|leaving", atUpstream,
      "Whether the upstream receives new requests; a leaving upstream receives none." },
    { "token_ms", ValueType::Number, "ms", 0, 10'000, "20", "", atRequestOrPlace,
      "Time that an engine takes per token of one request." },
    { "version", ValueType::Text, "", 0, 0, "\"\"", "", atRequest, "Version of the model to use; empty allows any version." },
} };

constexpr std::size_t maxPathLength = 256;

std::vector<std::string_view> splitPath(std::string_view path)
{
    std::vector<std::string_view> parts;
    std::size_t begin = 1;
    while (begin <= path.size()) {
        const std::size_t end = std::min(path.find('/', begin), path.size());
        parts.push_back(path.substr(begin, end - begin));
        begin = end + 1;
    }
    return parts;
}

bool isName(std::string_view text)
{
    const auto allowed = [](char letter) {
        return (letter >= 'a' && letter <= 'z') || (letter >= 'A' && letter <= 'Z') || (letter >= '0' && letter <= '9')
            || letter == '-' || letter == '_' || letter == '.';
    };
    return !text.empty() && text.size() <= 64 && std::all_of(text.begin(), text.end(), allowed);
}

std::size_t editDistance(std::string_view left, std::string_view right)
{
    std::vector<std::size_t> row(right.size() + 1);
    std::iota(row.begin(), row.end(), 0);
    for (std::size_t i = 1; i <= left.size(); ++i) {
        std::size_t diagonal = row[0];
        row[0] = i;
        for (std::size_t j = 1; j <= right.size(); ++j) {
            const std::size_t substituted = diagonal + (left[i - 1] == right[j - 1] ? 0 : 1);
            diagonal = row[j];
            row[j] = std::min({ row[j] + 1, row[j - 1] + 1, substituted });
        }
    }
    return row.back();
}

} // namespace

std::string_view nameOf(NodeKind kind)
{
    return nodeKindNames[kind];
}

std::string_view nameOf(ValueType type)
{
    return valueTypeNames[type];
}

std::span<const KeyDescription> settingsSchema()
{
    return schema;
}

const KeyDescription *findKey(std::string_view name)
{
    const auto found = std::find_if(schema.begin(), schema.end(), [&](const KeyDescription &key) { return key.name == name; });
    return found == schema.end() ? nullptr : &*found;
}

std::string_view nearestKey(std::string_view name)
{
    const auto closer = [&](const KeyDescription &left, const KeyDescription &right) {
        return editDistance(left.name, name) < editDistance(right.name, name);
    };
    return std::min_element(schema.begin(), schema.end(), closer)->name;
}

std::optional<NodeKind> kindOfPath(std::string_view path)
{
    if (path == "/") {
        return NodeKind::Root;
    }
    if (path.size() < 2 || path.size() > maxPathLength || path.front() != '/') {
        return std::nullopt;
    }
    const std::vector<std::string_view> parts = splitPath(path);
    for (std::size_t index = 1; index < parts.size(); index += 2) {
        if (!isName(parts[index])) {
            return std::nullopt;
        }
    }
    const std::string_view top = parts[0];
    if (parts.size() == 2) {
        return top == "regions"      ? std::optional{ NodeKind::Region }
            : top == "services"      ? std::optional{ NodeKind::Service }
            : top == "organisations" ? std::optional{ NodeKind::Organisation }
                                     : std::nullopt;
    }
    if (parts.size() == 4 && top == "regions" && parts[2] == "data_centres") {
        return NodeKind::DataCentre;
    }
    if (parts.size() == 4 && top == "organisations" && parts[2] == "services") {
        return NodeKind::OrganisationService;
    }
    if (parts.size() == 6 && top == "regions" && parts[2] == "data_centres" && parts[4] == "upstreams") {
        return NodeKind::Upstream;
    }
    return std::nullopt;
}

std::string parentPath(std::string_view path)
{
    if (path == "/" || path.empty()) {
        return {};
    }
    const std::size_t name = path.rfind('/');
    const std::size_t collection = name == 0 || name == std::string_view::npos ? 0 : path.rfind('/', name - 1);
    return collection == 0 || collection == std::string_view::npos ? "/" : std::string(path.substr(0, collection));
}

} // namespace Portpaddle
