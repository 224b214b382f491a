#!/usr/bin/python3
# SPDX-FileCopyrightText: 2026 portpaddle contributors
# SPDX-License-Identifier: Apache-2.0
"""The soak's checks: each broken promise is noticed, and what is allowed passes."""
import unittest
from types import SimpleNamespace

from checks import Checks
from upstreams import event, stream_length, whole_body

ASK = {"name": "ask", "kind": "stream", "service": "engines", "pathPrefix": "/s/", "attempts": 2, "resumable": True}
LONG = {"name": "long", "kind": "stream", "service": "engines", "pathPrefix": "/s/", "attempts": 1}
PAY = {"name": "pay", "kind": "non_idempotent", "service": "app", "pathPrefix": "/s/", "attempts": 1}
HOME = {**ASK, "homeRegions": ["south"]}
PROBE = {"name": "probe", "kind": "idempotent", "service": "app", "pathPrefix": "/s/", "attempts": 2}


class ChecksTest(unittest.TestCase):
    def setUp(self):
        self.clock = 100.0
        soak = SimpleNamespace(now=lambda: self.clock, timing=True, planned_only=False, calm_since=lambda moment: True)
        self.soak = soak
        self.entry = SimpleNamespace(region="south", stop_ordered=None, life_id=lambda: "d/1", disturbed_at=0.0)
        self.relay = SimpleNamespace(region="north", stop_ordered=None, life_id=lambda: f"r/{self.relay_life}", disturbed_at=0.0)
        self.relay_life = 1
        soak.daemons = [self.entry, self.relay]
        self.checks = Checks(soak)
        self.engine = SimpleNamespace(id="e-1", service="engines", region="north", left_since=None)
        self.app = SimpleNamespace(id="a-1", service="app", region="north", left_since=None,
                                   proxy=SimpleNamespace(disturbed_at=0.0))
        soak.upstreams = [self.engine, self.app]

    def rules(self):
        return [failure.split()[1].rstrip(":") for failure in self.checks.failures]

    def arrive(self, upstream, attempt, route, headers=(), path="/s/x"):
        if attempt not in self.checks.sent:
            self.checks.sending(attempt, route, self.entry)
        self.checks.reached(upstream, attempt)
        self.checks.arrived(upstream, attempt, SimpleNamespace(path=path, headers=dict(headers)), f"body of {attempt}".encode())

    def answer(self, attempt, route, status=200, body=None, newest=0):
        text = whole_body(attempt, route["service"]) if body is None else body
        self.checks.answered(attempt, route, "d/1", newest, status, {"Portpaddle-Server-Seal": "e." + attempt}, text.encode())

    def stream(self, attempt):
        return "".join(event(attempt, number) for number in range(1, stream_length(attempt) + 1))

    def test_whole_answers_pass(self):
        self.arrive(self.engine, "a1", ASK)
        self.checks.ran(self.engine, "a1")
        self.answer("a1", ASK, body=self.stream("a1"))
        self.arrive(self.app, "a2", PAY)
        self.checks.ran(self.app, "a2")
        self.answer("a2", PAY)
        self.checks.torn_stream("a1", self.stream("a1")[:40].encode())
        self.assertEqual(self.rules(), [])

    def test_second_run_of_what_may_not_repeat(self):
        self.arrive(self.app, "a", PAY)
        self.checks.ran(self.app, "a")
        self.checks.ran(self.app, "a")
        self.assertEqual(self.rules(), ["twice"])

    def test_refusal_of_what_ran_or_runs_later(self):
        self.arrive(self.app, "a", PAY)
        self.checks.ran(self.app, "a")
        self.answer("a", PAY, status=503)
        self.arrive(self.app, "b", PAY)
        self.answer("b", PAY, status=503)
        self.checks.ran(self.app, "b")
        self.assertEqual(self.rules(), ["refused", "refused"])

    def test_answers_of_others_and_incomplete_ones(self):
        self.answer("a", PAY, body=whole_body("b", "app"))
        self.answer("c", ASK, body=self.stream("c")[:-3])
        self.checks.torn_stream("c", self.stream("c")[5:40].encode())
        self.assertEqual(self.rules(), ["mixed", "mixed", "order"])

    def test_unknown_changed_and_forbidden_arrivals(self):
        request = SimpleNamespace(path="/s/x", headers={})
        self.checks.arrived(self.app, "nobody", request, b"")
        self.arrive(self.app, "a", PAY, path="/elsewhere")
        self.arrive(self.app, "b", PAY, headers={"Portpaddle-Hold": "h"})
        self.assertEqual(self.rules(), ["unasked", "changed", "header"])

    def test_homes_services_and_attempts(self):
        self.arrive(self.engine, "a", HOME)
        self.arrive(self.app, "b", ASK)
        for name in ("e-1", "e-2"):
            self.arrive(SimpleNamespace(**{**vars(self.engine), "id": name}), "c", LONG)
        self.assertEqual(self.rules(), ["home", "route", "attempts"])

    def test_leaving_upstream_after_its_bound(self):
        self.engine.left_since = self.clock - 2
        self.arrive(self.engine, "a", ASK)
        self.assertEqual(self.rules(), [])
        self.engine.left_since = self.clock - 5
        self.arrive(self.engine, "b", ASK)
        self.assertEqual(self.rules(), ["drain"])

    def test_older_configuration_after_a_newer_one(self):
        self.answer("a", {**PROBE, "since": 5})
        self.answer("b", {**PROBE, "since": 3}, newest=0)
        self.assertEqual(self.rules(), [])
        self.answer("c", {**PROBE, "since": 3}, newest=5)
        self.assertEqual(self.rules(), ["configuration"])

    def test_more_repeats_than_the_budget(self):
        for number in range(100):
            self.checks.sending(f"a{number}", PROBE, self.entry)
        for number in range(80):
            self.arrive(self.app, f"a{number}", PROBE)
            self.arrive(self.app, f"a{number}", PROBE)
        self.checks.check_repeats()
        self.assertEqual(self.rules(), ["budget"])

    def repeat(self, names, route):
        for name in names:
            self.arrive(self.app, name, route)
            self.arrive(self.app, name, route)

    def test_repeats_that_the_window_before_pays_for(self):
        for number in range(500):
            self.checks.sending(f"a{number}", PROBE, self.entry)
        self.clock += 15
        self.repeat([f"a{number}" for number in range(150)], PROBE)
        self.checks.check_repeats()
        self.assertEqual(self.rules(), [])
        self.clock += 10
        self.repeat([f"a{number}" for number in range(200, 260)], PROBE)
        self.checks.check_repeats()
        self.assertEqual(self.rules(), ["budget"])

    def test_requests_of_a_split_route_count_by_its_weights(self):
        split = {**PROBE, "split": [{"service": "app", "weight": 1}, {"service": "app-b", "weight": 4}]}
        for number in range(200):
            self.checks.sending(f"a{number}", split, self.entry)
        self.repeat([f"a{number}" for number in range(70)], split)
        self.checks.check_repeats()
        self.assertEqual(self.rules(), ["budget"])

    def limited(self, arrivals, words=((0.0, 1.0),)):
        for at, rate in words:
            self.checks.limits.says("u-1", rate, at)
        for at in arrivals:
            self.checks.limits.arrived("u-1", at)
        self.checks.limits.check(self.checks.fail)
        return self.rules()

    def test_more_requests_than_a_named_limit_tolerates(self):
        self.assertEqual(self.limited([6 + number / 10 for number in range(11)]), [])
        self.assertEqual(self.limited([7.5]), ["limit"])

    def test_requests_before_daemons_can_know_of_a_limit(self):
        self.assertEqual(self.limited([4.9] * 50 + [5.1] * 11), [])

    def test_requests_after_a_limit_was_lowered(self):
        self.assertEqual(self.limited([14 + number / 10 for number in range(20)], ((0.0, 4.0), (10.0, 1.0))), [])
        self.assertEqual(self.limited([20 + number / 10 for number in range(12)]), ["limit"])

    def test_requests_after_a_limit_has_ended(self):
        self.assertEqual(self.limited([20.0] * 50, ((0.0, 1.0), (10.0, None))), [])

    def test_answer_lost_in_planned_work(self):
        self.arrive(self.engine, "a", ASK)
        self.checks.ran(self.engine, "a")
        self.checks.broke_off("a", "torn")
        self.assertEqual(self.rules(), [])
        self.soak.planned_only = True
        self.checks.broke_off("unrun", "torn")
        self.checks.broke_off("a", "torn")
        self.assertEqual(self.rules(), ["lost"])

    def at_home(self, attempt, goes_on=False):
        """A request that a daemon of the upstream's region takes and sends to it."""
        if attempt not in self.checks.sent:
            self.checks.sending(attempt, PAY, self.relay)
        self.checks.reached(self.app, attempt, goes_on)

    def told_leaving(self):
        self.at_home("told")
        headers = {"Portpaddle-Server-Seal": "a-1.told", "Server-Leaving": "1"}
        self.checks.answered("told", PAY, "r/1", 0, 200, headers, whole_body("told", "app").encode())

    def test_request_sent_after_its_daemon_was_told_that_the_upstream_leaves(self):
        self.checks.sending("before", PAY, self.relay)
        self.told_leaving()
        self.at_home("before")
        self.assertEqual(self.rules(), [])
        self.at_home("later")
        self.assertEqual(self.rules(), ["leaving"])

    def test_run_that_goes_on_or_daemon_started_anew_at_an_upstream_that_leaves(self):
        self.told_leaving()
        self.at_home("moved", goes_on=True)
        self.relay_life = 2
        self.at_home("later")
        self.arrive(self.app, "away", PAY)  # taken in another region
        self.assertEqual(self.rules(), [])

    def ask_for_time(self, after, requests):
        self.at_home("first")
        self.checks.notices.turned_away(self.app, "first", 4.0, self.clock)
        self.clock += after
        for number in range(requests):
            self.at_home(f"later{number}")
        return self.rules()

    def test_requests_within_the_time_that_an_upstream_asked_for(self):
        self.assertEqual(self.ask_for_time(2.0, 2), [])
        self.at_home("one more")
        self.assertEqual(self.rules(), ["asked"])

    def test_requests_on_their_way_or_after_the_time_that_an_upstream_asked_for(self):
        self.assertEqual(self.ask_for_time(1.0, 5), [])
        self.clock += 4
        self.at_home("afterwards")
        self.assertEqual(self.rules(), [])

    def test_requests_of_a_daemon_that_was_held_within_the_time(self):
        self.at_home("first")
        self.checks.notices.turned_away(self.app, "first", 4.0, self.clock)
        self.relay.disturbed_at = self.clock + 1
        self.clock += 2
        for number in range(5):
            self.at_home(f"later{number}")
        self.assertEqual(self.rules(), [])

    def stopped(self, daemon, ordered, sent, broke, route=LONG):
        """A stream sent and broken at such times before and after the order to stop @p daemon."""
        self.soak.planned_only = True
        daemon.stop_ordered = ordered
        self.clock = ordered + sent
        self.arrive(self.engine, "a", route)
        self.checks.ran(self.engine, "a")
        self.clock = ordered + broke
        self.checks.broke_off("a", "torn")
        return self.rules()

    def test_long_stream_that_outlasts_a_stop(self):
        self.assertEqual(self.stopped(self.entry, 50.0, 2.5, 7.5), [])

    def test_long_stream_that_outlasts_the_stop_of_the_relay(self):
        self.assertEqual(self.stopped(self.relay, 50.0, -1.0, 7.5), [])

    def test_stream_taken_long_after_the_order_to_stop(self):
        self.assertEqual(self.stopped(self.entry, 50.0, 3.5, 7.5), ["lost"])

    def test_stream_cut_before_the_time_of_a_stop_is_used(self):
        self.assertEqual(self.stopped(self.entry, 50.0, 1.0, 4.0), ["lost"])

    def test_short_stream_cut_by_a_stop(self):
        self.assertEqual(self.stopped(self.entry, 50.0, 2.5, 7.5, ASK), ["lost"])


if __name__ == "__main__":
    unittest.main()
