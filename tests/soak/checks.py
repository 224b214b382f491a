# SPDX-FileCopyrightText: 2026 portpaddle contributors
# SPDX-License-Identifier: Apache-2.0
"""Checks the guarantees of the system against the observations of clients and upstreams."""
from collections import Counter, defaultdict

from limits import LimitChecks
from notices import NoticeChecks
from upstreams import VERSIONS, event, stream_length, versions_in, whole_body

NOT_RUN_STATUSES = {408, 421, 429, 503}  # statuses that promise that the attempt has not run and will not run
FORBIDDEN_HEADERS = ("Portpaddle-Hold", "Portpaddle-Pin-Duration", "Portpaddle-Cache-Backup")  # headers that clients may not set
CALM = 6.0  # seconds without a fault after which time bounds hold
DRAIN = 3.0  # seconds after which a leaving upstream gets no requests
DRAIN_SLACK = 1.0  # the soak's own processes may be delayed on a loaded machine
WINDOW = 10.0  # seconds over which retries are counted
RETRY_SHARE = 0.2  # of the requests of a window
EXTRA_RETRIES = 54
ACCEPTED_WHILE_STOPPING = 3.0  # seconds after the order to stop in which a stream may be accepted that turns out too long
MIN_STOP_TIME = 6.6  # least number of seconds that a stopping daemon leaves to accepted requests


class Checks:
    def __init__(self, soak):
        self.soak = soak
        self.sent = {}  # attempt: route
        self.taken_up = {}  # attempt: (attempt that began the stream, number of the first event that is missing, version)
        self.accepted_by = {}  # attempt: (daemon, when the client sent it)
        self.region_of_run = {}  # attempt: region of the upstream
        self.arrivals = Counter()
        self.requests_at = defaultdict(list)  # service: (time at which a client sent, share of the request)
        self.retries_at = defaultdict(list)  # service: times of arrivals after the first of an attempt
        self.upstreams_of = defaultdict(set)
        self.runs = Counter()
        self.refused = {}
        self.tally = Counter()
        self.limits = LimitChecks()
        self.notices = NoticeChecks()
        self.failures = []
        self.closest = (0.0, "none")  # the window with the highest share of the retry budget
        self.highest = {}  # daemon's incarnation: newest configuration seen in force

    def fail(self, rule, text):
        if len(self.failures) < 20:
            self.failures.append(f"{self.soak.now():.2f} {rule}: {text}")

    def record_sent(self, attempt, route, daemon, taken_up=None):
        self.sent[attempt] = route
        if taken_up is not None:
            self.taken_up[attempt] = taken_up
        self.accepted_by[attempt] = (daemon, self.soak.now())
        self.notices.record_sent(attempt, daemon)
        split = route.get("split", [{"service": route["service"], "weight": 1}])
        whole = sum(entry["weight"] for entry in split)
        for entry in split:
            self.requests_at[entry["service"]].append((self.soak.now(), entry["weight"] / whole))

    def record_arrival(self, upstream, attempt, resumes=False):
        """Records an arrival as the budget counts it, also one that is rejected or that resumes a moved run."""
        self.arrivals[attempt] += 1
        self.limits.arrived(upstream.id, self.soak.now())
        self.notices.arrived(upstream, attempt, resumes, self.soak.timing, self.soak.now(), self.fail)
        if self.arrivals[attempt] > 1:
            self.retries_at[upstream.service].append(self.soak.now())

    def arrived(self, upstream, attempt, request, body):
        route = self.sent.get(attempt)
        if route is None:
            self.fail("unasked", f"{upstream.id} got unknown attempt {attempt!r}")
            return
        self.upstreams_of[attempt].add(upstream.id)
        if len(self.upstreams_of[attempt]) > route["attempts"]:
            self.fail("attempts", f"{attempt} reached {len(self.upstreams_of[attempt])} upstreams")
        if body != f"body of {attempt}".encode() or not request.path.startswith(route["pathPrefix"]):
            self.fail("changed", f"{attempt} arrived as {request.path} {body[:60]!r}")
        if any(name in request.headers for name in FORBIDDEN_HEADERS):
            self.fail("header", f"{attempt} carried a header that clients may not set")
        homes = route.get("homeRegions")
        if homes and upstream.region not in homes:
            self.fail("home", f"{attempt} of {route['name']} ran in {upstream.region}")
        services = [route["service"]] + [entry["service"] for entry in route.get("split", [])]
        if upstream.service not in services:
            self.fail("route", f"{attempt} of {route['name']} reached {upstream.service}")
        self._check_drain(upstream, attempt)

    def _check_drain(self, upstream, attempt):
        left = upstream.left_since
        if not self.soak.timing or left is None:
            return
        late = self.soak.now() - left
        if late > DRAIN + DRAIN_SLACK and self.soak.calm_since(left - CALM):
            self.fail("drain", f"{attempt} reached {upstream.id} {late:.1f} s after its leaving began")

    def ran(self, upstream, attempt):
        self.runs[attempt] += 1
        self.region_of_run[attempt] = upstream.region
        route = self.sent.get(attempt, {})
        retryable = route.get("kind") == "idempotent" or route.get("resumable")
        if self.runs[attempt] > 1 and not retryable:
            self.fail("twice", f"{attempt} of {route.get('name')} ran again at {upstream.id}")
        if attempt in self.refused and not retryable:
            self.fail("refused", f"{attempt} ran after {self.refused[attempt]}")

    def answered(self, attempt, route, incarnation, newest, status, headers, body):
        """Checks an answer that is complete by its framing; newest: the version that the daemon had shown before the request."""
        self.tally[status] += 1
        self.notices.record_forwarded(attempt, headers, self.soak.upstreams)
        if status in NOT_RUN_STATUSES:
            self.refused[attempt] = status
            if self.runs[attempt] and route["kind"] != "idempotent" and not route.get("resumable"):
                self.fail("refused", f"{attempt} got {status} and had run")
        if 200 <= status < 300:
            self._check_success(attempt, route, headers, body)
        self._check_configuration(route, incarnation, newest, status)

    def _check_success(self, attempt, route, headers, body):
        seal = headers.get("Portpaddle-Server-Seal", "")
        if not seal.endswith("." + attempt):
            self.fail("mixed", f"{attempt} was sealed {seal!r}")
        if route["kind"] == "stream":
            text = body.decode(errors="replace")
            expected = self._rest_of_stream(attempt, self._version_of(attempt, text) or VERSIONS[0])
        else:
            expected = None
        whole = body.decode(errors="replace")
        plain_bodies = [whole_body(attempt, service) for service in ("engines", "app", "app-b")]
        if (expected is not None and whole != expected) or (expected is None and whole not in plain_bodies):
            self.fail("mixed", f"{attempt} of {route['name']} got {whole[:80]!r}... of {len(whole)} bytes")

    def answer_aborted(self, attempt, reason):
        """Records a connection that ended without a complete answer and was not closed by the client."""
        self.tally[reason] += 1
        if self.soak.planned_only and self.runs[attempt] and not self._cut_at_end_of_stop(attempt):
            self.fail("lost", f"{attempt} ran and its answer broke off ({reason}) during planned work only")

    def _cut_at_end_of_stop(self, attempt):
        """Returns whether a long stream was accepted early in the stop of a daemon on its path and cut at the end of that stop."""
        daemon, sent = self.accepted_by[attempt]
        if self.sent[attempt]["name"] != "long":
            return False
        on_path = [daemon] + [other for other in self.soak.daemons if other.region == self.region_of_run[attempt]]
        stops = [one.stop_ordered for one in on_path if one.stop_ordered is not None]
        now = self.soak.now()
        return any(sent < stop + ACCEPTED_WHILE_STOPPING and now > stop + MIN_STOP_TIME for stop in stops)

    def check_retries(self):
        """Checks the retry budget in every window, over all daemons and their incarnations. As in the daemons' rule, the requests
        are those of this window, of the previous one or of the one half a window earlier, whichever has most."""
        for service, times in self.retries_at.items():
            requests = self.requests_at[service]
            worst = (0, "")
            for end in times:
                extra = sum(end - WINDOW < at <= end for at in times)
                most = max(sum(weight for at, weight in requests if end - back - WINDOW < at <= end - back)
                           for back in (0, WINDOW / 2, WINDOW))
                allowed = RETRY_SHARE * most + EXTRA_RETRIES
                self.closest = max(self.closest, (extra / allowed, f"{extra} of {allowed:.0f} at {service}"))
                worst = max(worst, (extra - allowed, f"{extra} retries at {service} in the {WINDOW:.0f} s up to {end:.2f}, "
                                                     f"{allowed:.0f} allowed"))
            if worst[0] > 0:
                self.fail("budget", worst[1])

    def check_partial_stream(self, attempt, body):
        """Checks that the part of an aborted stream that arrived is a prefix of the whole stream."""
        text = body.decode(errors="replace")
        version = self._version_of(attempt, text)
        possible = [self._rest_of_stream(attempt, one) for one in ([version] if version else VERSIONS)]
        if not any(whole.startswith(text) for whole in possible):
            self.fail("order", f"{attempt} was aborted after bytes that are not its own: {body[-60:]!r}")

    def _version_of(self, attempt, text):
        """Returns the one version that wrote the stream of @p attempt so far; None before its first event."""
        stream, _, version = self.taken_up.get(attempt, (attempt, 1, None))
        versions = versions_in(text)
        if len(versions) > 1 or (version and versions - {version}):
            self.fail("versions", f"{attempt} of stream {stream} holds events of {sorted(versions)}, begun at {version}")
        return version or min(versions, default=None)

    def _rest_of_stream(self, attempt, version):
        """Returns all events that @p attempt has to bring if an upstream of @p version writes them."""
        stream, first, _ = self.taken_up.get(attempt, (attempt, 1, None))
        return "".join(event(stream, number, version) for number in range(first, stream_length(stream) + 1))

    def _check_configuration(self, route, incarnation, newest, status):
        """Each version has its own probe route, so a probe served after that of a newer version shows an older configuration."""
        version = route.get("since")
        if version is None or status != 200:
            return
        if version < newest:
            self.fail("configuration", f"{incarnation} served version {version} after {newest}")
        self.highest[incarnation] = max(self.highest.get(incarnation, 0), version)
