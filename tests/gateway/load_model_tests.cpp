// SPDX-FileCopyrightText: 2026 portpaddle contributors
// SPDX-License-Identifier: Apache-2.0

// Learned time to the first token of a service's upstreams.

#include "portpaddle/base/system_clock.h"
#include "portpaddle/load_model/load_models.h"
#include "portpaddle/store_following/service_map.h"

#include <doctest/doctest.h>

#include <algorithm>
#include <cmath>
#include <vector>

using namespace Portpaddle;

namespace {

/// Upstreams that take 20 ms and 0.03 ms for each token, with a random error of up to a factor of 1.5 either way.
class LearningFixture
{
public:
    void play(unsigned samples)
    {
        for (unsigned count = 0; count < samples; ++count) {
            learn(nextSample());
        }
    }

    void learn(const FirstTokenSample &sample)
    {
        now += std::chrono::milliseconds(2);
        model.learn(sample, now);
    }

    double slowness(std::uint32_t upstream) const
    {
        return model.slowness(upstream, now);
    }

    FirstTokenSample nextSample()
    {
        FirstTokenSample sample;
        sample.upstream = static_cast<std::uint32_t>(random.below(4));
        sample.tokens = random.fraction() < 0.8 ? 1'000 + 2'000 * random.fraction() : 10'000 * (1 + random.fraction());
        const double error = std::pow(1.5, 2 * random.fraction() - 1);
        sample.ms = (20 + 0.03 * sample.tokens) * (sample.upstream == slowUpstream ? 2 : 1) * error;
        return sample;
    }

    double predictedMs(double tokens) const
    {
        return model.fixedMs() + model.msPerToken() * tokens;
    }

    static constexpr std::uint32_t slowUpstream = 3;
    SteadyTime now{ std::chrono::hours(1) };
    FirstTokenModel model;
    SeededRandom random{ 11 };
};

const SteadyTime start{ std::chrono::hours(1) };

ServiceMap services(const std::string &name)
{
    ServiceMap map;
    map.services[name].name = name;
    map.services[name].memoryTokens = 500'000;
    return map;
}

} // namespace

// The constants of one kind of engine gave a half of the time that others need.
TEST_CASE_FIXTURE(LearningFixture, "Load model, slower engines, is right in the median within a few hundred samples")
{
    play(600);
    std::vector<double> ratios;
    for (unsigned count = 0; count < 1'000; ++count) {
        const FirstTokenSample sample = nextSample();
        ratios.push_back(sample.ms / (predictedMs(sample.tokens) * slowness(sample.upstream)));
        learn(sample);
    }
    std::sort(ratios.begin(), ratios.end());
    CHECK(ratios[500] > 0.9);
    CHECK(ratios[500] < 1.1);
    CHECK(ratios[900] < 2);
}

TEST_CASE_FIXTURE(LearningFixture, "Load model, one slow upstream, is slower than the others")
{
    play(1'500);
    CHECK(slowness(slowUpstream) / slowness(0) > 1.6);
    CHECK(slowness(slowUpstream) / slowness(0) < 2.4);
    model.forget(slowUpstream);
    CHECK(slowness(slowUpstream) == 1);
}

// A slow upstream is avoided and gives no samples; without this it would stay unused for good.
TEST_CASE_FIXTURE(LearningFixture, "Load model, slow upstream without samples, is as the others after some seconds")
{
    play(1'500);
    now += std::chrono::seconds(10);
    CHECK(slowness(slowUpstream) < 1.1);
}

TEST_CASE_FIXTURE(LearningFixture, "Load model, errors of predictions, raise the margin until most requests are within it")
{
    play(1'000);
    unsigned within = 0;
    for (unsigned count = 0; count < 1'000; ++count) {
        const FirstTokenSample sample = nextSample();
        const double predicted = predictedMs(sample.tokens) * slowness(sample.upstream);
        within += sample.ms <= predicted + model.marginMs(sample.urgency) ? 1 : 0;
        learn(sample);
    }
    CHECK(within > 650);
    CHECK(within < 850);
}

// Requests whose callers left would otherwise be missing, and the model would know only those that were quick.
TEST_CASE_FIXTURE(LearningFixture, "Load model, requests that end without a token, count once they took longer than predicted")
{
    play(600);
    const double before = predictedMs(2'000);
    for (unsigned count = 0; count < 50; ++count) {
        learn({ 0, 2'000, 10, Urgency::Usual, true });
    }
    CHECK(predictedMs(2'000) == before);
    for (unsigned count = 0; count < 50; ++count) {
        learn({ 0, 2'000, 3'000, Urgency::Usual, true });
    }
    CHECK(predictedMs(2'000) > 1.5 * before);
}

// A peer may name any number of upstreams.
TEST_CASE_FIXTURE(LearningFixture, "Load model, samples of more upstreams than can exist, keeps a bounded number")
{
    for (std::uint32_t upstream = 0; upstream < 2 * maxKeptUpstreams; ++upstream) {
        model.learn({ upstream, 2'000, 100 }, now);
    }
    CHECK(model.keptUpstreams() == maxKeptUpstreams);
    now += std::chrono::seconds(10);
    learn({ 2 * maxKeptUpstreams, 2'000, 100 });
    CHECK(model.keptUpstreams() == 1);
}

TEST_CASE_FIXTURE(LearningFixture, "Load model, implausible samples, are ignored")
{
    const double before = predictedMs(2'000);
    for (const FirstTokenSample &sample :
         { FirstTokenSample{ 0, -1, 100 }, FirstTokenSample{ 0, 1e9, 100 }, FirstTokenSample{ 0, 2'000, 0 },
           FirstTokenSample{ 0, 2'000, 1e9 }, FirstTokenSample{ 0, 2'000, std::nan("") } }) {
        learn(sample);
    }
    CHECK(predictedMs(2'000) == before);
}

// A daemon alone gets a sample of an upstream only every few seconds.
TEST_CASE("Load models, samples of a daemon, reach the others through its aggregator")
{
    LoadModels daemon;
    LoadModels aggregator;
    LoadModels other;
    for (LoadModels *models : { &daemon, &aggregator, &other }) {
        models->setServices(services("a"));
    }
    daemon.measured("a", { 0, 10'000, 2'000 }, start);
    daemon.measured("unknown", { 0, 10'000, 2'000 }, start);
    Wire::LoadDigestT report;
    report.kind = Wire::DigestKind::Report;
    report.first_token_times = daemon.takeDue(0);
    CHECK(report.first_token_times.size() == 1);
    CHECK(daemon.takeDue(0).empty());
    aggregator.take(report, start);
    Wire::LoadDigestT sum;
    sum.kind = Wire::DigestKind::Sum;
    sum.first_token_times = aggregator.takeDue(0);
    other.take(sum, start);
    CHECK(other.model("a").msPerToken() == daemon.model("a").msPerToken());
    CHECK(other.model("a").msPerToken() > other.model("unknown").msPerToken());
    // A Sum is not passed on.
    CHECK(other.takeDue(0).empty());
}

TEST_CASE("Load models, more samples than a digest holds, are bounded")
{
    LoadModels models;
    models.setServices(services("a"));
    for (unsigned count = 0; count < 10 * maxDigestSamples; ++count) {
        models.measured("a", { 0, 10'000, 2'000 }, start);
    }
    CHECK(models.takeDue(0).size() == maxDigestSamples);
}

TEST_CASE("Load models, service that is no longer configured, is forgotten")
{
    LoadModels models;
    models.setServices(services("a"));
    models.measured("a", { 1, 10'000, 2'000 }, start);
    models.setServices(services("b"));
    models.setServices(services("a"));
    CHECK(models.model("a").msPerToken() == models.model("unknown").msPerToken());
}
