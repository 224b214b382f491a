# SPDX-FileCopyrightText: 2026 portpaddle contributors
# SPDX-License-Identifier: Apache-2.0
"""What upstreams get from daemons that they told that they leave, or for how long they want nothing.

Only requests whose daemon sends to the upstream itself count: those that it took in the upstream's own region.
"""
from collections import Counter, defaultdict

NOTICE = 0.5  # seconds after an answer in which requests may still be under way
SLACK = 1.0  # the soak's own processes are late on a busy machine
ALLOWED = 2  # requests within each time that an upstream asked for


class ToldNotices:
    def __init__(self):
        self.left = set()  # (daemon's life, upstream's life): an answer that says it leaves was passed on
        self.taken = {}  # attempt: (daemon, its life, upstreams that had told that life before)
        self.asked = defaultdict(list)  # (daemon's life, upstream's life): [when answered, until when, arrivals]
        self.counts = Counter()

    def sending(self, attempt, daemon):
        life = daemon.life_id()
        self.taken[attempt] = (daemon, life, {upstream for told, upstream in self.left if told == life})

    def passed_on(self, attempt, headers, upstreams):
        """A whole answer reached its client."""
        if headers.get("Server-Leaving") != "1" or attempt not in self.taken:
            return
        daemon, life, _ = self.taken[attempt]
        speaker = headers.get("Portpaddle-Server-Seal", "").rpartition(".")[0]
        for upstream in upstreams:
            if upstream.id == speaker and upstream.region == daemon.region and daemon.life_id() == life:
                self.left.add((life, speaker))
                self.counts["leavings passed on"] += 1

    def turned_away(self, upstream, attempt, asked, now):
        daemon, life, _ = self.taken.get(attempt, (None, None, None))
        if daemon is not None and daemon.region == upstream.region:
            self.asked[life, upstream.id].append([now, now + asked, 0])
            self.counts["times asked for"] += 1

    def arrived(self, upstream, attempt, goes_on, timing, now, fail):
        """@p goes_on: with a run whose memory was moved there, which its upstream's leaving does not end."""
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
