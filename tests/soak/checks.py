# SPDX-FileCopyrightText: 2026 portpaddle contributors
# SPDX-License-Identifier: Apache-2.0
"""What must hold, judged from what clients and upstreams see."""
from collections import Counter, defaultdict

from limits import NamedLimits
from notices import ToldNotices
from upstreams import event, stream_length, whole_body

PROMISES = {408, 421, 429, 503}  # statuses that say: not run, and never will be
FORBIDDEN = ("Portpaddle-Hold", "Portpaddle-Pin-Duration", "Portpaddle-Cache-Backup")  # not a client's to set
CALM = 6.0  # seconds without a fault after which bounds in time hold
DRAIN = 3.0  # seconds after which a leaving upstream gets nothing
DRAIN_SLACK = 1.0  # the soak's own processes are late on a busy machine
WINDOW = 10.0  # seconds over which repeats are counted
REPEAT_SHARE = 0.2  # of the requests of a window
EXTRA_REPEATS = 54
TAKEN_WHILE_STOPPING = 3.0  # seconds after the order to stop in which a stream may still be taken that then proves too long
STOP_USED = 6.6  # seconds that a stopping daemon gives at least to what it has taken


class Checks:
    def __init__(self, soak):
        self.soak = soak
        self.sent = {}  # attempt: route
        self.taken_by = {}  # attempt: (daemon, when the client sent it)
        self.region_of_run = {}  # attempt: region of the upstream
        self.arrivals = Counter()
        self.requests_at = defaultdict(list)  # service: times at which clients sent
        self.repeats_at = defaultdict(list)  # service: times of arrivals beyond the first
        self.upstreams_of = defaultdict(set)
        self.runs = Counter()
        self.refused = {}
        self.tally = Counter()
        self.limits = NamedLimits()
        self.notices = ToldNotices()
        self.failures = []
        self.closest = (0.0, "none")  # the window in which repeats came closest to their budget
        self.highest = {}  # daemon's life: newest configuration seen in force

    def fail(self, rule, text):
        if len(self.failures) < 20:
            self.failures.append(f"{self.soak.now():.2f} {rule}: {text}")

    def sending(self, attempt, route, daemon):
        self.sent[attempt] = route
        self.taken_by[attempt] = (daemon, self.soak.now())
        self.notices.sending(attempt, daemon)
        split = route.get("split", [{"service": route["service"], "weight": 1}])
        whole = sum(entry["weight"] for entry in split)
        for entry in split:
            self.requests_at[entry["service"]].append((self.soak.now(), entry["weight"] / whole))

    def reached(self, upstream, attempt, goes_on=False):
        """Each arrival as the budget counts them: also one that is rejected, or that goes on with a run which was moved."""
        self.arrivals[attempt] += 1
        self.limits.arrived(upstream.id, self.soak.now())
        self.notices.arrived(upstream, attempt, goes_on, self.soak.timing, self.soak.now(), self.fail)
        if self.arrivals[attempt] > 1:
            self.repeats_at[upstream.service].append(self.soak.now())

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
        if any(name in request.headers for name in FORBIDDEN):
            self.fail("header", f"{attempt} carried a header that is not the client's to set")
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
            self.fail("drain", f"{attempt} reached {upstream.id} {late:.1f} s after it began to leave")

    def ran(self, upstream, attempt):
        self.runs[attempt] += 1
        self.region_of_run[attempt] = upstream.region
        route = self.sent.get(attempt, {})
        repeatable = route.get("kind") == "idempotent" or route.get("resumable")
        if self.runs[attempt] > 1 and not repeatable:
            self.fail("twice", f"{attempt} of {route.get('name')} ran again at {upstream.id}")
        if attempt in self.refused and not repeatable:
            self.fail("refused", f"{attempt} ran after {self.refused[attempt]}")

    def answered(self, attempt, route, life, newest, status, headers, body):
        """A whole answer, as its framing says. newest: the version that the daemon's life had shown before the request was sent."""
        self.tally[status] += 1
        self.notices.passed_on(attempt, headers, self.soak.upstreams)
        if status in PROMISES:
            self.refused[attempt] = status
            if self.runs[attempt] and route["kind"] != "idempotent" and not route.get("resumable"):
                self.fail("refused", f"{attempt} got {status} and had run")
        if 200 <= status < 300:
            self._check_success(attempt, route, headers, body)
        self._check_configuration(route, life, newest, status)

    def _check_success(self, attempt, route, headers, body):
        seal = headers.get("Portpaddle-Server-Seal", "")
        if not seal.endswith("." + attempt):
            self.fail("mixed", f"{attempt} was sealed {seal!r}")
        if route["kind"] == "stream":
            expected = "".join(event(attempt, number) for number in range(1, stream_length(attempt) + 1))
        else:
            expected = None
        whole = body.decode(errors="replace")
        plain = [whole_body(attempt, service) for service in ("engines", "app", "app-b")]
        if (expected is not None and whole != expected) or (expected is None and whole not in plain):
            self.fail("mixed", f"{attempt} of {route['name']} got {whole[:80]!r}... of {len(whole)} bytes")

    def broke_off(self, attempt, reason):
        """The connection ended without a whole answer, and the client had not left."""
        self.tally[reason] += 1
        if self.soak.planned_only and self.runs[attempt] and not self._outlasted_a_stop(attempt):
            self.fail("lost", f"{attempt} ran and its answer broke off ({reason}) though only planned work was under way")

    def _outlasted_a_stop(self, attempt):
        """It was taken before a daemon on its way had long been stopping, and was cut at the end of the time that a stop has."""
        daemon, sent = self.taken_by[attempt]
        if self.sent[attempt]["name"] != "long":
            return False
        on_the_way = [daemon] + [other for other in self.soak.daemons if other.region == self.region_of_run[attempt]]
        stops = [one.stop_ordered for one in on_the_way if one.stop_ordered is not None]
        now = self.soak.now()
        return any(sent < stop + TAKEN_WHILE_STOPPING and now > stop + STOP_USED for stop in stops)

    def check_repeats(self):
        """The budget for repeats over every window, whichever daemons and lives of daemons made them. Requests count as the rule
        counts them: of that window, of the one before or of the one half a window before, whichever has most."""
        for service, repeats in self.repeats_at.items():
            requests = self.requests_at[service]
            worst = (0, "")
            for end in repeats:
                extra = sum(end - WINDOW < at <= end for at in repeats)
                most = max(sum(weight for at, weight in requests if end - back - WINDOW < at <= end - back)
                           for back in (0, WINDOW / 2, WINDOW))
                allowed = REPEAT_SHARE * most + EXTRA_REPEATS
                self.closest = max(self.closest, (extra / allowed, f"{extra} of {allowed:.0f} at {service}"))
                worst = max(worst, (extra - allowed, f"{extra} repeats at {service} in the {WINDOW:.0f} s up to {end:.2f}, "
                                                     f"{allowed:.0f} allowed"))
            if worst[0] > 0:
                self.fail("budget", worst[1])

    def torn_stream(self, attempt, body):
        """What arrived of a stream that broke off must be the beginning of the whole one."""
        whole = "".join(event(attempt, number) for number in range(1, stream_length(attempt) + 1))
        if not whole.startswith(body.decode(errors="replace")):
            self.fail("order", f"{attempt} broke off after other pieces than its own: {body[-60:]!r}")

    def _check_configuration(self, route, life, newest, status):
        """Each version has a probe route of its own: one that is served after a newer one was means an older version."""
        version = route.get("since")
        if version is None or status != 200:
            return
        if version < newest:
            self.fail("configuration", f"{life} served version {version} after {newest}")
        self.highest[life] = max(self.highest.get(life, 0), version)
