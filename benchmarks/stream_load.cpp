// SPDX-FileCopyrightText: 2026 portpaddle contributors
// SPDX-License-Identifier: Apache-2.0

// Loads a running daemon with streams and measures its overhead: time to the first byte compared with a direct call, memory,
// threads and requests per second. Prints JSON. Wall-clock figures are only reported; no check depends on them.

#include "portpaddle/base/socket_address.h"

#include <algorithm>
#include <atomic>
#include <chrono>
#include <fstream>
#include <thread>
#include <vector>

#include <fmt/format.h>
#include <httplib.h>
#include <nlohmann/json.hpp>
#include <popt.h>

using namespace Portpaddle;

namespace {

using Clock = std::chrono::steady_clock;

struct Target
{
    SocketAddress address;
    std::string key;
};

std::string chatBody(const std::string &prompt, unsigned tokens, bool streamed)
{
    return nlohmann::json{
        { "model", "assistant" },
        { "stream", streamed },
        { "max_tokens", tokens },
        { "messages", { { { "role", "user" }, { "content", prompt } } } }
    }.dump();
}

/// Returns the milliseconds until the first byte of a streamed answer, or a negative value without an answer.
double firstByteMs(const Target &target, const std::string &prompt)
{
    httplib::Client client(target.address.host, target.address.port);
    client.set_bearer_token_auth(target.key);
    client.set_tcp_nodelay(true);
    client.set_read_timeout(30);
    const auto begin = Clock::now();
    double elapsed = -1;
    httplib::Request request;
    request.method = "POST";
    request.path = "/v1/chat/completions";
    request.body = chatBody(prompt, 1, true);
    request.content_receiver = [&](const char *, std::size_t, std::uint64_t, std::uint64_t) {
        if (elapsed < 0) {
            elapsed = std::chrono::duration<double, std::milli>(Clock::now() - begin).count();
        }
        return true;
    };
    client.send(request);
    return elapsed;
}

/// Opens streams and keeps them open until the object is destroyed.
class OpenStreams
{
public:
    OpenStreams(const Target &target, unsigned count)
    {
        for (unsigned index = 0; index < count; ++index) {
            threads_.emplace_back([this, target, index] { holdOpen(target, index); });
        }
        while (opened_ < count) {
            std::this_thread::sleep_for(std::chrono::milliseconds(10));
        }
    }

    ~OpenStreams()
    {
        stopping_ = true;
        for (std::thread &thread : threads_) {
            thread.join();
        }
    }

    unsigned failed() const
    {
        return failed_;
    }

private:
    void holdOpen(const Target &target, unsigned index)
    {
        httplib::Client client(target.address.host, target.address.port);
        client.set_bearer_token_auth(target.key);
        client.set_read_timeout(60);
        bool first = true;
        httplib::Request request;
        request.method = "POST";
        request.path = "/v1/chat/completions";
        request.body = chatBody("held " + std::to_string(index), 100'000, true);
        request.content_receiver = [&](const char *, std::size_t, std::uint64_t, std::uint64_t) {
            opened_ += first ? 1 : 0;
            first = false;
            return !stopping_.load();
        };
        client.send(request);
        if (first) {
            ++failed_;
            ++opened_;
        }
    }

    std::atomic<unsigned> opened_{ 0 };
    std::atomic<unsigned> failed_{ 0 };
    std::atomic<bool> stopping_{ false };
    std::vector<std::thread> threads_;
};

/// Returns a figure from /proc/PID/status, in kB or as a count; zero if the figure is missing.
double processStatus(int process, const std::string &name)
{
    std::ifstream file(fmt::format("/proc/{}/status", process));
    for (std::string line; std::getline(file, line);) {
        if (line.compare(0, name.size() + 1, name + ":") == 0) {
            return std::stod(line.substr(name.size() + 1));
        }
    }
    return 0;
}

nlohmann::json quantiles(std::vector<double> values)
{
    std::sort(values.begin(), values.end());
    const auto at
        = [&](double part) { return values.at(static_cast<std::size_t>(part * static_cast<double>(values.size() - 1))); };
    return { { "p50_ms", at(0.5) }, { "p99_ms", at(0.99) }, { "samples", values.size() } };
}

nlohmann::json measureFirstByte(const Target &entry, const Target &engine, unsigned background)
{
    constexpr unsigned workers = 4;
    constexpr unsigned pairs = 250;
    const OpenStreams streams(entry, background);
    std::vector<double> through[workers];
    std::vector<double> direct[workers];
    std::vector<std::thread> threads;
    for (unsigned worker = 0; worker < workers; ++worker) {
        threads.emplace_back([&, worker] {
            for (unsigned pair = 0; pair < pairs; ++pair) {
                const std::string prompt = fmt::format("pair {} {}", worker, pair);
                direct[worker].push_back(firstByteMs(engine, prompt));
                through[worker].push_back(firstByteMs(entry, prompt));
            }
        });
    }
    for (std::thread &thread : threads) {
        thread.join();
    }
    std::vector<double> allDirect;
    std::vector<double> allThrough;
    std::vector<double> added;
    for (unsigned worker = 0; worker < workers; ++worker) {
        allDirect.insert(allDirect.end(), direct[worker].begin(), direct[worker].end());
        allThrough.insert(allThrough.end(), through[worker].begin(), through[worker].end());
        for (unsigned pair = 0; pair < pairs; ++pair) {
            added.push_back(through[worker][pair] - direct[worker][pair]);
        }
    }
    return { { "open_streams", background },
             { "direct", quantiles(allDirect) },
             { "through", quantiles(allThrough) },
             { "added", quantiles(added) } };
}

nlohmann::json measureMemory(const Target &entry, int process)
{
    nlohmann::json rows = nlohmann::json::array();
    const auto row = [&](unsigned streams, unsigned failed) {
        rows.push_back({ { "streams", streams },
                         { "rss_kb", processStatus(process, "VmRSS") },
                         { "threads", processStatus(process, "Threads") },
                         { "failed", failed } });
    };
    row(0, 0);
    for (const unsigned count : { 100U, 400U, 900U }) {
        const OpenStreams streams(entry, count);
        row(count, streams.failed());
    }
    return rows;
}

nlohmann::json measureThroughput(const Target &entry)
{
    constexpr unsigned workers = 8;
    constexpr std::chrono::seconds duration{ 3 };
    std::atomic<unsigned> answered{ 0 };
    std::vector<std::thread> threads;
    const auto end = Clock::now() + duration;
    for (unsigned worker = 0; worker < workers; ++worker) {
        threads.emplace_back([&, worker] {
            httplib::Client client(entry.address.host, entry.address.port);
            client.set_keep_alive(true);
            client.set_tcp_nodelay(true);
            client.set_bearer_token_auth(entry.key);
            while (Clock::now() < end) {
                const httplib::Result reply = client.Post(
                    "/v1/chat/completions", chatBody("through " + std::to_string(worker), 1, false), "application/json");
                answered += reply && reply->status == 200 ? 1 : 0;
            }
        });
    }
    for (std::thread &thread : threads) {
        thread.join();
    }
    return { { "requests_per_s", answered / std::chrono::duration<double>(duration).count() }, { "callers", workers } };
}

} // namespace

int main(int argc, char **argv)
{
    char *entryText = nullptr;
    char *engineText = nullptr;
    char *key = nullptr;
    int process = 0;
    const poptOption table[]
        = { { "entry", 'e', POPT_ARG_STRING, &entryText, 0, "address of the daemon for callers", "HOST:PORT" },
            { "engine", 'd', POPT_ARG_STRING, &engineText, 0, "address of an engine for direct calls", "HOST:PORT" },
            { "key", 'k', POPT_ARG_STRING, &key, 0, "bearer key of a caller", "KEY" },
            { "process", 'p', POPT_ARG_INT, &process, 0, "process id of the daemon", "PID" },
            POPT_AUTOHELP POPT_TABLEEND };
    poptContext context = poptGetContext("stream_load", argc, const_cast<const char **>(argv), table, 0);
    const int status = poptGetNextOpt(context);
    const Result<SocketAddress> entry = parseSocketAddress(entryText == nullptr ? "" : entryText);
    const Result<SocketAddress> engine = parseSocketAddress(engineText == nullptr ? "" : engineText);
    if (status != -1 || !isOk(entry) || !isOk(engine) || key == nullptr) {
        fmt::print(stderr, "stream_load: --entry, --engine, --key and --process are needed; see --help\n");
        return 2;
    }
    const Target entryTarget{ valueOf(entry), key };
    const Target engineTarget{ valueOf(engine), key };
    const nlohmann::ordered_json result
        = { { "memory", measureMemory(entryTarget, process) },
            { "first_byte",
              { measureFirstByte(entryTarget, engineTarget, 0), measureFirstByte(entryTarget, engineTarget, 200) } },
            { "throughput", measureThroughput(entryTarget) } };
    fmt::print("{}\n", result.dump(2));
    return 0;
}
