# SPDX-FileCopyrightText: 2026 portpaddle contributors
# SPDX-License-Identifier: Apache-2.0
"""Checks that daemons send no requests to upstreams that announced their leaving or asked for a backoff.

Only requests that a daemon accepted in the upstream's own region count, since that daemon sends them to the upstream itself.
"""
from collections import Counter, defaultdict

NOTICE = 0.5  # seconds after an answer within which requests may still be in flight
SLACK = 1.0  # the soak's own processes may be delayed on a loaded machine
ALLOWED = 2  # requests tolerated within each backoff period


class NoticeChecks:
    def __init__(self):
        self.leaving = set()  # (daemon's incarnation, upstream's incarnation) of each leaving notice that reached a client
        self.accepted = {}  # attempt: (daemon, its incarnation, upstreams whose leaving it knew by then)
        self.asked = defaultdict(list)  # (daemon's incarnation, upstream's incarnation): [answered, backoff end, arrivals]
        self.counts = Counter()

    def record_sent(self, attempt, daemon):
        incarnation = daemon.incarnation_id()
        self.accepted[attempt] = (daemon, incarnation, {upstream for notified, upstream in self.leaving if notified == incarnation})

    def record_forwarded(self, attempt, headers, upstreams):
        """Records the leaving notice of an answer that reached its client completely."""
        if headers.get("Server-Leaving") != "1" or attempt not in self.accepted:
            return
        daemon, incarnation, _ = self.accepted[attempt]
        sender = headers.get("Portpaddle-Server-Seal", "").rpartition(".")[0]
        for upstream in upstreams:
            if upstream.id == sender and upstream.region == daemon.region and daemon.incarnation_id() == incarnation:
                self.leaving.add((incarnation, sender))
                self.counts["leavings passed on"] += 1

    def backoff_requested(self, upstream, attempt, asked, now):
        daemon, incarnation, _ = self.accepted.get(attempt, (None, None, None))
        if daemon is not None and daemon.region == upstream.region:
            self.asked[incarnation, upstream.id].append([now, now + asked, 0])
            self.counts["times asked for"] += 1

    def arrived(self, upstream, attempt, resumes, timing, now, fail):
        """Checks one arrival; @p resumes: the run was moved here with its memory, and may continue on an upstream that leaves."""
        daemon, incarnation, known_leaving = self.accepted.get(attempt, (None, None, ()))
        if daemon is None or daemon.region != upstream.region or daemon.incarnation_id() != incarnation:
            return
        if upstream.id in known_leaving and not resumes:
            fail("leaving", f"{attempt} reached {upstream.id}, whose leaving {incarnation} knew before it was sent")
        if timing:
            self._count(upstream, daemon, incarnation, now, fail)

    def _count(self, upstream, daemon, incarnation, now, fail):
        asked = self.asked[incarnation, upstream.id]
        asked[:] = [entry for entry in asked if entry[1] > now]
        disturbed = max(daemon.disturbed_at, upstream.proxy.disturbed_at if upstream.proxy else 0.0)
        for entry in asked:
            if entry[0] > disturbed and now > entry[0] + NOTICE + SLACK:
                entry[2] += 1
                if entry[2] > ALLOWED:
                    fail("asked", f"{upstream.id} asked {incarnation} for a backoff until {entry[1]:.2f}, got {entry[2]} requests")
                    return
