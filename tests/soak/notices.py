# SPDX-FileCopyrightText: 2026 portpaddle contributors
# SPDX-License-Identifier: Apache-2.0
"""Checks that daemons send no requests to upstreams that announced their leaving or asked for a backoff.

Only requests that a daemon accepted in the upstream's own region count, since that daemon sends them to the upstream itself.
"""
from collections import Counter, defaultdict

NOTICE = 0.5  # seconds after an answer within which requests may still be in flight
SLACK = 1.0  # the soak's own processes may be delayed on a loaded machine
ALLOWED = 2  # requests tolerated within each backoff period


class ToldNotices:
    def __init__(self):
        self.left = set()  # (daemon's incarnation, upstream's incarnation) of each leaving notice that reached a client
        self.taken = {}  # attempt: (daemon, its incarnation, upstreams whose leaving it knew by then)
        self.asked = defaultdict(list)  # (daemon's incarnation, upstream's incarnation): [time of the answer, end of the backoff, arrivals]
        self.counts = Counter()

    def sending(self, attempt, daemon):
        life = daemon.life_id()
        self.taken[attempt] = (daemon, life, {upstream for told, upstream in self.left if told == life})

    def passed_on(self, attempt, headers, upstreams):
        """Records the leaving notice of an answer that reached its client completely."""
        if headers.get("Server-Leaving") != "1" or attempt not in self.taken:
            return
        daemon, life, _ = self.taken[attempt]
        sender = headers.get("Portpaddle-Server-Seal", "").rpartition(".")[0]
        for upstream in upstreams:
            if upstream.id == sender and upstream.region == daemon.region and daemon.life_id() == life:
                self.left.add((life, sender))
                self.counts["leavings passed on"] += 1

    def turned_away(self, upstream, attempt, asked, now):
        daemon, life, _ = self.taken.get(attempt, (None, None, None))
        if daemon is not None and daemon.region == upstream.region:
            self.asked[life, upstream.id].append([now, now + asked, 0])
            self.counts["times asked for"] += 1

    def arrived(self, upstream, attempt, goes_on, timing, now, fail):
        """Checks one arrival; @p goes_on: the run was moved here with its memory, and may continue on an upstream that leaves."""
        daemon, life, told = self.taken.get(attempt, (None, None, ()))
        if daemon is None or daemon.region != upstream.region or daemon.life_id() != life:
            return
        if upstream.id in told and not goes_on:
            fail("leaving", f"{attempt} reached {upstream.id}, which had told {life} before it was sent")
        if timing:
            self._count(upstream, daemon, life, now, fail)

    def _count(self, upstream, daemon, life, now, fail):
        asked = self.asked[life, upstream.id]
        asked[:] = [entry for entry in asked if entry[1] > now]
        disturbed = max(daemon.disturbed_at, upstream.proxy.disturbed_at if upstream.proxy else 0.0)
        for entry in asked:
            if entry[0] > disturbed and now > entry[0] + NOTICE + SLACK:
                entry[2] += 1
                if entry[2] > ALLOWED:
                    fail("asked", f"{upstream.id} had asked {life} for time until {entry[1]:.2f} and got {entry[2]} requests")
                    return
