# SPDX-FileCopyrightText: 2026 portpaddle contributors
# SPDX-License-Identifier: Apache-2.0
"""What upstreams that name limits get from all daemons together."""
from collections import defaultdict

WINDOW = 4.0  # seconds over which requests are counted
TOLERATED, SLACK = 1.5, 5  # times the limit, and requests besides
CONTACT = 5.0  # seconds from the naming on in which daemons may still learn of it


class NamedLimits:
    def __init__(self):
        self.words = defaultdict(list)  # id of an upstream's life: (when, requests a second or None), in order
        self.arrivals = defaultdict(list)  # the same: times
        self.closest = (0.0, "none")  # the window that came closest to what is tolerated

    def says(self, upstream, rate, now):
        self.words[upstream].append((now, rate))

    def arrived(self, upstream, now):
        if upstream in self.words:
            self.arrivals[upstream].append(now)

    def _episodes(self, upstream):
        """(begin, end, words) of each time that the upstream named limits without a pause."""
        words = self.words[upstream]
        first = None
        for index, (at, rate) in enumerate(words + [(float("inf"), None)]):
            if rate is None and first is not None:
                yield words[first][0], at, words[first:index]
            first = None if rate is None else index if first is None else first

    @staticmethod
    def _allowed(words, begin, end):
        """By the highest limit that daemons may still have gone by in the window."""
        until = [at for at, _ in words[1:]] + [float("inf")]
        rates = [rate for (at, rate), ended in zip(words, until) if at <= end and ended > begin - CONTACT]
        return TOLERATED * max(rates) * WINDOW + SLACK

    def check(self, fail):
        """Every window from CONTACT after a naming until the limit ends."""
        for upstream in self.words:
            for begin, end, words in self._episodes(upstream):
                times = [at for at in self.arrivals[upstream] if begin + CONTACT <= at < end]
                for last in times:
                    got = sum(last - WINDOW < at <= last for at in times)
                    allowed = self._allowed(words, last - WINDOW, last)
                    self.closest = max(self.closest, (got / allowed, f"{got} of {allowed:.1f} at {upstream}"))
                    if got > allowed:
                        fail("limit", f"{upstream} got {got} requests in the {WINDOW:.0f} s up to {last:.2f}, {allowed:.1f} tolerated")
                        return
