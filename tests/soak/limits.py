# SPDX-FileCopyrightText: 2026 portpaddle contributors
# SPDX-License-Identifier: Apache-2.0
"""Checks the rate of requests that all daemons together send to an upstream that announces a limit."""
from collections import defaultdict

WINDOW = 4.0  # seconds over which requests are counted
TOLERATED, SLACK = 1.5, 5  # factor on the limit, and requests on top of it
CONTACT = 5.0  # seconds after an announcement within which daemons may not know the limit yet


class LimitChecks:
    def __init__(self):
        self.announcements = defaultdict(list)  # id of an upstream's incarnation: (time, requests per second or None), in order
        self.arrivals = defaultdict(list)  # id of an upstream's incarnation: times of arrivals
        self.closest = (0.0, "none")  # the window with the highest share of the tolerated requests

    def announced(self, upstream, rate, now):
        self.announcements[upstream].append((now, rate))

    def arrived(self, upstream, now):
        if upstream in self.announcements:
            self.arrivals[upstream].append(now)

    def _limit_periods(self, upstream):
        """Yields (begin, end, announcements) of each period in which the upstream had a limit without a break."""
        announcements = self.announcements[upstream]
        first = None
        for index, (at, rate) in enumerate(announcements + [(float("inf"), None)]):
            if rate is None and first is not None:
                yield announcements[first][0], at, announcements[first:index]
            first = None if rate is None else index if first is None else first

    @staticmethod
    def _allowed(announcements, begin, end):
        """Returns the tolerated requests, from the highest limit that daemons may have applied in the window."""
        until = [at for at, _ in announcements[1:]] + [float("inf")]
        rates = [rate for (at, rate), ended in zip(announcements, until) if at <= end and ended > begin - CONTACT]
        return TOLERATED * max(rates) * WINDOW + SLACK

    def check(self, fail):
        """Checks every window from CONTACT after an announcement until the limit ends."""
        for upstream in self.announcements:
            for begin, end, announcements in self._limit_periods(upstream):
                times = [at for at in self.arrivals[upstream] if begin + CONTACT <= at < end]
                for last in times:
                    got = sum(last - WINDOW < at <= last for at in times)
                    allowed = self._allowed(announcements, last - WINDOW, last)
                    self.closest = max(self.closest, (got / allowed, f"{got} of {allowed:.1f} at {upstream}"))
                    if got > allowed:
                        fail("limit", f"{upstream} got {got} requests in the {WINDOW:.0f} s up to {last:.2f}, {allowed:.1f} tolerated")
                        return
