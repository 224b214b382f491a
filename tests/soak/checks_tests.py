#!/usr/bin/python3
# SPDX-FileCopyrightText: 2026 portpaddle contributors
# SPDX-License-Identifier: Apache-2.0
"""Tests that the soak's checks detect each violation and accept permitted behaviour."""
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
        self.entry = SimpleNamespace(region="south", stop_ordered=None, incarnation_id=lambda: "d/1", disturbed_at=0.0)
        self.relay = SimpleNamespace(region="north", stop_ordered=None, incarnation_id=lambda: f"r/{self.relay_incarnation}",
                                     disturbed_at=0.0)
        self.relay_incarnation = 1
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
            self.checks.record_sent(attempt, route, self.entry)
        self.checks.record_arrival(upstream, attempt)
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
        self.checks.check_partial_stream("a1", self.stream("a1")[:40].encode())
        self.assertEqual(self.rules(), [])

    def test_stream_of_two_versions_fails(self):
        self.arrive(self.engine, "a", ASK)
        mixed = event("a", 1, "v1") + event("a", 2, "v1.2")
        self.checks.check_partial_stream("a", mixed.encode())
        self.assertEqual(self.rules(), ["versions", "order"])

    def test_taken_up_stream_that_goes_on_at_another_version_fails(self):
        rest = lambda version: "".join(event("a", number, version) for number in range(3, stream_length("a") + 1))
        for attempt, version in (("b", "v1.2"), ("c", "v1")):
            self.checks.record_sent(attempt, ASK, self.entry, ("a", 3, "v1.2"))
            self.answer(attempt, ASK, body=rest(version))
        self.assertEqual(self.rules(), ["versions", "mixed"])

    def test_second_run_of_a_non_retryable_request_fails(self):
        self.arrive(self.app, "a", PAY)
        self.checks.ran(self.app, "a")
        self.checks.ran(self.app, "a")
        self.assertEqual(self.rules(), ["twice"])

    def test_refusal_of_an_attempt_that_ran_or_runs_later_fails(self):
        self.arrive(self.app, "a", PAY)
        self.checks.ran(self.app, "a")
        self.answer("a", PAY, status=503)
        self.arrive(self.app, "b", PAY)
        self.answer("b", PAY, status=503)
        self.checks.ran(self.app, "b")
        self.assertEqual(self.rules(), ["refused", "refused"])

    def test_answers_of_other_attempts_and_incomplete_answers_fail(self):
        self.answer("a", PAY, body=whole_body("b", "app"))
        self.answer("c", ASK, body=self.stream("c")[:-3])
        self.checks.check_partial_stream("c", self.stream("c")[5:40].encode())
        self.assertEqual(self.rules(), ["mixed", "mixed", "order"])

    def test_unknown_or_changed_arrivals_and_forbidden_headers_fail(self):
        request = SimpleNamespace(path="/s/x", headers={})
        self.checks.arrived(self.app, "nobody", request, b"")
        self.arrive(self.app, "a", PAY, path="/elsewhere")
        self.arrive(self.app, "b", PAY, headers={"Portpaddle-Hold": "h"})
        self.assertEqual(self.rules(), ["unasked", "changed", "header"])

    def test_wrong_home_region_wrong_service_and_too_many_attempts_fail(self):
        self.arrive(self.engine, "a", HOME)
        self.arrive(self.app, "b", ASK)
        for name in ("e-1", "e-2"):
            self.arrive(SimpleNamespace(**{**vars(self.engine), "id": name}), "c", LONG)
        self.assertEqual(self.rules(), ["home", "route", "attempts"])

    def test_request_to_a_leaving_upstream_fails_after_the_drain_time(self):
        self.engine.left_since = self.clock - 2
        self.arrive(self.engine, "a", ASK)
        self.assertEqual(self.rules(), [])
        self.engine.left_since = self.clock - 5
        self.arrive(self.engine, "b", ASK)
        self.assertEqual(self.rules(), ["drain"])

    def test_older_configuration_after_a_newer_one_fails(self):
        self.answer("a", {**PROBE, "since": 5})
        self.answer("b", {**PROBE, "since": 3}, newest=0)
        self.assertEqual(self.rules(), [])
        self.answer("c", {**PROBE, "since": 3}, newest=5)
        self.assertEqual(self.rules(), ["configuration"])

    def test_retries_beyond_the_budget_fail(self):
        for number in range(100):
            self.checks.record_sent(f"a{number}", PROBE, self.entry)
        for number in range(80):
            self.arrive(self.app, f"a{number}", PROBE)
            self.arrive(self.app, f"a{number}", PROBE)
        self.checks.check_retries()
        self.assertEqual(self.rules(), ["budget"])

    def repeat(self, names, route):
        for name in names:
            self.arrive(self.app, name, route)
            self.arrive(self.app, name, route)

    def test_retries_covered_by_requests_of_the_previous_window_pass(self):
        for number in range(500):
            self.checks.record_sent(f"a{number}", PROBE, self.entry)
        self.clock += 15
        self.repeat([f"a{number}" for number in range(150)], PROBE)
        self.checks.check_retries()
        self.assertEqual(self.rules(), [])
        self.clock += 10
        self.repeat([f"a{number}" for number in range(200, 260)], PROBE)
        self.checks.check_retries()
        self.assertEqual(self.rules(), ["budget"])

    def test_requests_of_a_split_route_count_by_its_weights(self):
        split = {**PROBE, "split": [{"service": "app", "weight": 1}, {"service": "app-b", "weight": 4}]}
        for number in range(200):
            self.checks.record_sent(f"a{number}", split, self.entry)
        self.repeat([f"a{number}" for number in range(70)], split)
        self.checks.check_retries()
        self.assertEqual(self.rules(), ["budget"])

    def limited(self, arrivals, announcements=((0.0, 1.0),)):
        for at, rate in announcements:
            self.checks.limits.announced("u-1", rate, at)
        for at in arrivals:
            self.checks.limits.arrived("u-1", at)
        self.checks.limits.check(self.checks.fail)
        return self.rules()

    def test_requests_beyond_the_tolerated_share_of_a_limit_fail(self):
        self.assertEqual(self.limited([6 + number / 10 for number in range(11)]), [])
        self.assertEqual(self.limited([7.5]), ["limit"])

    def test_requests_before_daemons_can_know_a_limit_pass(self):
        self.assertEqual(self.limited([4.9] * 50 + [5.1] * 11), [])

    def test_requests_after_a_lowered_limit_count_by_the_lower_one(self):
        self.assertEqual(self.limited([14 + number / 10 for number in range(20)], ((0.0, 4.0), (10.0, 1.0))), [])
        self.assertEqual(self.limited([20 + number / 10 for number in range(12)]), ["limit"])

    def test_requests_after_the_end_of_a_limit_pass(self):
        self.assertEqual(self.limited([20.0] * 50, ((0.0, 1.0), (10.0, None))), [])

    def test_aborted_answer_of_a_run_fails_only_during_planned_work(self):
        self.arrive(self.engine, "a", ASK)
        self.checks.ran(self.engine, "a")
        self.checks.answer_aborted("a", "torn")
        self.assertEqual(self.rules(), [])
        self.soak.planned_only = True
        self.checks.answer_aborted("unrun", "torn")
        self.checks.answer_aborted("a", "torn")
        self.assertEqual(self.rules(), ["lost"])

    def send_in_region(self, attempt, resumes=False):
        """Sends a request to a daemon in the upstream's region, which forwards it to the upstream."""
        if attempt not in self.checks.sent:
            self.checks.record_sent(attempt, PAY, self.relay)
        self.checks.record_arrival(self.app, attempt, resumes)

    def receive_leaving_notice(self):
        self.send_in_region("told")
        headers = {"Portpaddle-Server-Seal": "a-1.told", "Server-Leaving": "1"}
        self.checks.answered("told", PAY, "r/1", 0, 200, headers, whole_body("told", "app").encode())

    def test_request_sent_after_its_daemon_got_the_leaving_notice_fails(self):
        self.checks.record_sent("before", PAY, self.relay)
        self.receive_leaving_notice()
        self.send_in_region("before")
        self.assertEqual(self.rules(), [])
        self.send_in_region("later")
        self.assertEqual(self.rules(), ["leaving"])

    def test_resumed_run_restarted_daemon_and_other_region_pass_at_a_leaving_upstream(self):
        self.receive_leaving_notice()
        self.send_in_region("moved", resumes=True)
        self.relay_incarnation = 2
        self.send_in_region("later")
        self.arrive(self.app, "away", PAY)  # accepted in another region
        self.assertEqual(self.rules(), [])

    def request_in_backoff(self, after, requests):
        self.send_in_region("first")
        self.checks.notices.backoff_requested(self.app, "first", 4.0, self.clock)
        self.clock += after
        for number in range(requests):
            self.send_in_region(f"later{number}")
        return self.rules()

    def test_requests_within_the_backoff_fail_beyond_the_allowance(self):
        self.assertEqual(self.request_in_backoff(2.0, 2), [])
        self.send_in_region("one more")
        self.assertEqual(self.rules(), ["asked"])

    def test_requests_in_flight_or_after_the_backoff_pass(self):
        self.assertEqual(self.request_in_backoff(1.0, 5), [])
        self.clock += 4
        self.send_in_region("afterwards")
        self.assertEqual(self.rules(), [])

    def test_requests_of_a_daemon_disturbed_within_the_backoff_pass(self):
        self.send_in_region("first")
        self.checks.notices.backoff_requested(self.app, "first", 4.0, self.clock)
        self.relay.disturbed_at = self.clock + 1
        self.clock += 2
        for number in range(5):
            self.send_in_region(f"later{number}")
        self.assertEqual(self.rules(), [])

    def stopped(self, daemon, ordered, sent, broke, route=LONG):
        """Aborts a stream; @p sent and @p broke are in seconds relative to the order to stop @p daemon."""
        self.soak.planned_only = True
        daemon.stop_ordered = ordered
        self.clock = ordered + sent
        self.arrive(self.engine, "a", route)
        self.checks.ran(self.engine, "a")
        self.clock = ordered + broke
        self.checks.answer_aborted("a", "torn")
        return self.rules()

    def test_long_stream_that_outlasts_a_stop_passes(self):
        self.assertEqual(self.stopped(self.entry, 50.0, 2.5, 7.5), [])

    def test_long_stream_that_outlasts_the_stop_of_the_relay_passes(self):
        self.assertEqual(self.stopped(self.relay, 50.0, -1.0, 7.5), [])

    def test_aborted_stream_accepted_long_after_the_order_to_stop_fails(self):
        self.assertEqual(self.stopped(self.entry, 50.0, 3.5, 7.5), ["lost"])

    def test_stream_cut_before_the_end_of_a_stop_fails(self):
        self.assertEqual(self.stopped(self.entry, 50.0, 1.0, 4.0), ["lost"])

    def test_short_stream_cut_by_a_stop_fails(self):
        self.assertEqual(self.stopped(self.entry, 50.0, 2.5, 7.5, ASK), ["lost"])


if __name__ == "__main__":
    unittest.main()
