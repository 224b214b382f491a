# SPDX-FileCopyrightText: 2026 portpaddle contributors
# SPDX-License-Identifier: Apache-2.0
"""The seeded schedule of faults, which may overlap; each fault ends on its own."""
import asyncio
import signal
from collections import Counter

MEAN_INTERVAL = 0.5  # mean seconds between two faults
MAX_DURATION = 3.0  # longest duration of a fault in seconds
SILENCE = (0.7, 1.3)  # seconds for which sound upstreams fall silent, at least and at most
KILLS_IN_SERIES = 4  # consecutive kills of daemons
KILL_INTERVAL = 1.5  # seconds; a daemon serves again some tenths of a second after a restart


# Planned work, which must not lose a request.
PLANNED = ("stop", "hang_up", "configure", "storm", "upstream_leaves", "fall_silent")
# Faults that strain the retry budget: failing services, and daemons that lose, miss or delay reports of what was spent, or get
# the callers of others.
RETRY_FAULTS = ("spoil_service", "spoil_service", "move_callers", "stop_in_turn", "kill_in_series", "power_loss", "kill_many",
            "pause", "stop", "join", "store_cut", "store_down", "link_silent", "upstream_leaves")
# Faults during the failure of a service, after a calm period in which every daemon could save what was spent.
FAULTS_DURING_FAILURE = ("power_loss", "kill_in_series", "kill_many", "move_callers", "stop_in_turn", "link_silent")
CALM = (9.0, 13.0)  # seconds without a fault, at least and at most
FAILURE_SECONDS = 4.0  # seconds; the service fails for three times as long
# Faults that strain announced limits: daemons that lose, miss or delay reports, and upstreams that restart.
LIMIT_FAULTS = ("name_limit", "name_limit", "name_limit", "name_limit", "kill_in_series", "power_loss", "kill", "kill_many", "pause", "stop",
            "join", "store_cut", "store_down", "link_silent", "link_delay", "upstream_crash", "spoil")
# Faults that strain notices of upstreams: daemons that lose or delay them, and a store with late or older records.
NOTICE_FAULTS = ("tell_leaving", "tell_leaving", "tell_leaving", "ask_for_time", "ask_for_time", "ask_for_time", "kill_in_series", "power_loss",
           "kill", "pause", "stop", "hang_up", "join", "move_callers", "store_away", "store_cut", "store_down", "forget", "link_silent",
           "link_delay", "upstream_crash", "spoil", "evacuate")


class Faults:
    def __init__(self, soak):
        self.soak = soak
        self.random = soak.random
        self.counts = Counter()
        self.tasks = []
        self.kinds = [self.pause, self.kill, self.kill_many, self.stop, self.hang_up, self.store_down, self.store_slow,
                      self.store_loses, self.store_refuses, self.store_cut, self.forget, self.link_delay, self.link_reset,
                      self.link_silent, self.entry_reset, self.spoil, self.upstream_crash, self.upstream_leaves,
                      self.upstream_vanishes, self.configure, self.storm, self.evacuate, self.kill_in_series, self.power_loss,
                      self.join, self.spoil_service, self.name_limit, self.tell_leaving, self.ask_for_time, self.fall_silent]
        if soak.planned_only:
            self.kinds = [kind for kind in self.kinds if kind.__name__ in PLANNED]
        if soak.options.press:
            self.kinds = [getattr(self, name) for name in RETRY_FAULTS]
        if soak.options.limits:
            self.kinds = [getattr(self, name) for name in LIMIT_FAULTS]
        if soak.options.notices:
            self.kinds = [getattr(self, name) for name in NOTICE_FAULTS]

    async def run(self, seconds):
        end = self.soak.now() + seconds
        while self.soak.now() < end:
            until = end
            if self.soak.options.press:
                await self.inject_after_calm()
                until = min(end, self.soak.now() + self.random.uniform(*CALM))
            while self.soak.now() < until:
                await asyncio.sleep(self.random.expovariate(1 / MEAN_INTERVAL))
                self.begin(self.random.choice(self.kinds))

    def begin(self, kind, lasts=None):
        self.counts[kind.__name__] += 1
        lasts = lasts or self.random.uniform(0.2, MAX_DURATION)
        if kind not in (self.configure, self.upstream_leaves, self.evacuate, self.name_limit, self.fall_silent):
            self.soak.disturb(lasts + (6 if kind == self.store_away else 1))
        self.tasks.append(asyncio.create_task(kind(lasts)))

    async def inject_after_calm(self):
        await self.heal()
        await asyncio.sleep(self.random.uniform(*CALM))
        self.begin(self.spoil_service, FAILURE_SECONDS)
        await asyncio.sleep(self.random.uniform(0.3, 3))
        self.begin(getattr(self, self.random.choice(FAULTS_DURING_FAILURE)))

    async def heal(self):
        """Waits until all faults have ended."""
        await asyncio.gather(*self.tasks)

    def daemon(self):
        return self.random.choice(self.soak.daemons)

    def upstream(self):
        return self.random.choice(self.soak.upstreams)

    # Daemons.
    async def pause(self, lasts):
        daemon = self.daemon()
        daemon.pause()
        await asyncio.sleep(lasts)
        daemon.resume()

    async def restart(self, daemon, ending):
        if not daemon.running() or daemon.process.pid in self.soak.expected_ends:
            return
        self.soak.expected_ends.add(daemon.process.pid)
        await ending()
        await asyncio.sleep(0.1)
        await daemon.start()

    async def kill(self, lasts):
        daemon = self.daemon()
        await self.restart(daemon, daemon.kill)

    async def kill_many(self, lasts):
        chosen = self.random.sample(self.soak.daemons, self.random.randint(2, len(self.soak.daemons)))
        await asyncio.gather(*(self.restart(daemon, daemon.kill) for daemon in chosen))

    async def kill_in_series(self, lasts):
        self.soak.disturb(KILLS_IN_SERIES * KILL_INTERVAL)
        for _ in range(KILLS_IN_SERIES):
            chosen = self.random.sample(self.soak.daemons, max(1, len(self.soak.daemons) * 6 // 10))
            await asyncio.gather(*(self.restart(daemon, daemon.kill) for daemon in chosen))
            await asyncio.sleep(KILL_INTERVAL)

    async def power_loss(self, lasts):
        async def lose(daemon):
            await daemon.kill()
            await asyncio.sleep(lasts)

        await asyncio.gather(*(self.restart(daemon, lambda daemon=daemon: lose(daemon)) for daemon in list(self.soak.daemons)))

    async def stop_in_turn(self, lasts):
        """Orders daemons to stop one after another, without waiting for the previous stop to end."""
        chosen = self.random.sample(self.soak.daemons, max(1, len(self.soak.daemons) // 2))
        self.soak.disturb(9 + len(chosen) * lasts / 4)
        stops = []
        for daemon in chosen:
            stops.append(asyncio.create_task(self.restart(daemon, daemon.stop)))
            await asyncio.sleep(lasts / 4)
        await asyncio.gather(*stops)

    async def move_callers(self, lasts):
        """Directs all callers to some of the daemons, and later to the others."""
        some = self.random.sample(self.soak.daemons, max(1, len(self.soak.daemons) // 3))
        self.soak.preferred_daemons = some
        await asyncio.sleep(2 * lasts)
        self.soak.preferred_daemons = [daemon for daemon in self.soak.daemons if daemon not in some]
        await asyncio.sleep(2 * lasts)
        self.soak.preferred_daemons = None

    async def join(self, lasts):
        await self.soak.add_spare()

    async def stop(self, lasts):
        self.soak.disturb(9)
        daemon = self.daemon()
        await self.restart(daemon, daemon.stop)

    async def hang_up(self, lasts):
        daemon = self.daemon()
        # Until the process has installed its handlers, the signal would end it.
        if daemon.handles_signal(signal.SIGHUP):
            daemon.send(signal.SIGHUP)

    # The store.
    async def store_down(self, lasts):
        self.soak.store.down = True
        await asyncio.sleep(lasts)
        self.soak.store.down = False

    async def store_slow(self, lasts):
        self.soak.store.delay = 0.4
        await asyncio.sleep(lasts)
        self.soak.store.delay = 0

    async def store_loses(self, lasts):
        self.soak.store.lose_answers = 0.4
        await asyncio.sleep(lasts)
        self.soak.store.lose_answers = 0

    async def store_refuses(self, lasts):
        daemon = self.daemon()
        self.soak.store.refused[daemon.host] = self.random.choice([429, 503])
        await asyncio.sleep(lasts)
        self.soak.store.refused.pop(daemon.host, None)

    async def store_cut(self, lasts):
        proxy = self.daemon().store_proxy
        proxy.silent_up, proxy.silent_down = self.random.choice([(True, True), (True, False), (False, True)])
        await asyncio.sleep(lasts)
        proxy.heal()

    async def forget(self, lasts):
        self.soak.store.forget_history()

    # Connections.
    def any_proxy(self):
        return self.random.choice([one.proxy for one in self.soak.upstreams] + [one.entry_proxy for one in self.soak.daemons])

    async def mark_disturbed_for(self, proxy, lasts):
        """Waits while @p proxy withholds bytes, and marks it as disturbed, since bytes in flight arrive late."""
        end = self.soak.now() + lasts
        while self.soak.now() < end:
            proxy.disturbed_at = self.soak.now() + 0.1
            await asyncio.sleep(0.1)

    async def link_delay(self, lasts):
        proxy = self.any_proxy()
        proxy.delay = 0.05
        await self.mark_disturbed_for(proxy, lasts)
        proxy.delay = 0

    async def link_reset(self, lasts):
        self.any_proxy().reset_all()

    async def link_silent(self, lasts):
        proxy = self.any_proxy()
        proxy.silent_up, proxy.silent_down = self.random.choice([(True, True), (True, False), (False, True)])
        await self.mark_disturbed_for(proxy, lasts)
        proxy.silent_up = proxy.silent_down = False

    async def entry_reset(self, lasts):
        self.daemon().entry_proxy.reset_all()

    # Upstreams.
    async def spoil(self, lasts):
        upstream = self.upstream()
        upstream.mode = self.random.choice(["errors", "lost", "torn", "extra", "shed", "slow"])
        await asyncio.sleep(lasts)
        upstream.mode = None

    async def fall_silent(self, lasts):
        """Makes one upstream, or all of a region, send nothing for about a second and go on. No trouble, and no excuse."""
        one = self.upstream()
        together = self.random.random() < 0.3
        until = self.soak.now() + self.random.uniform(*SILENCE)
        for upstream in self.soak.upstreams:
            if upstream == one or (together and upstream.region == one.region):
                upstream.silent_until = until

    async def spoil_service(self, lasts):
        """Makes every upstream of a service fail, so that daemons make as many retries as the budget allows."""
        service = self.random.choice(sorted({upstream.service for upstream in self.soak.upstreams}))
        upstreams = [upstream for upstream in self.soak.upstreams if upstream.service == service]
        mode = self.random.choice(["errors", "shed", "lost"])
        for upstream in upstreams:
            upstream.mode = mode
        await asyncio.sleep(3 * lasts)
        for upstream in upstreams:
            upstream.mode = None

    async def upstream_crash(self, lasts):
        upstream = self.upstream()
        upstream.crash()
        await asyncio.sleep(lasts)
        self.soak.store.remove(f"servers/{upstream.id}")
        await upstream.begin(upstream.host, None)

    async def upstream_leaves(self, lasts, upstream=None):
        upstream = upstream or self.upstream()
        incarnation = upstream.id
        upstream.register("draining")
        await asyncio.sleep(4.5)
        if upstream.id == incarnation:
            self.soak.store.remove(f"servers/{incarnation}")
            await asyncio.sleep(1)
        if upstream.id == incarnation:
            await upstream.begin(upstream.host, None)

    async def tell_leaving(self, lasts):
        """Announces a leaving only in answers at first, while the store entry may expire and return; then in the store as well."""
        upstream = self.upstream()
        incarnation = upstream.id
        if upstream.announces_leaving:
            return
        upstream.announces_leaving = True
        await asyncio.sleep(lasts)
        if upstream.id == incarnation and self.random.random() < 0.5:
            self.soak.store.remove(f"servers/{incarnation}")
            await asyncio.sleep(self.random.uniform(0.1, 1.5))
            if upstream.id == incarnation:
                upstream.register()
        await asyncio.sleep(2 * lasts)
        if upstream.id == incarnation:
            await self.upstream_leaves(lasts, upstream)

    async def ask_for_time(self, lasts):
        """Makes one upstream, or all of a service, refuse most requests and ask their daemons for a backoff."""
        one = self.upstream()
        upstreams = [one] if self.random.random() < 0.5 else [other for other in self.soak.upstreams if other.service == one.service]
        for upstream in upstreams:
            upstream.backoff = self.random.uniform(1, 5)
        await asyncio.sleep(3 * lasts)
        for upstream in upstreams:
            upstream.backoff = None

    async def store_away(self, lasts):
        self.soak.store.down = True
        await asyncio.sleep(lasts + 5)
        self.soak.store.down = False

    async def upstream_vanishes(self, lasts):
        upstream = self.upstream()
        incarnation = upstream.id
        self.soak.store.remove(f"servers/{incarnation}")
        upstream.left_since = self.soak.now()
        await asyncio.sleep(4.5)
        if upstream.id == incarnation:
            await upstream.begin(upstream.host, None)

    async def name_limit(self, lasts):
        """Announces a limit, may change it and ends it, unless the upstream's incarnation ends first."""
        upstream = self.upstream()
        incarnation = upstream.id
        if upstream.limit is not None:
            return
        for _ in range(self.random.randint(1, 3)):
            upstream.name_limit(self.random.uniform(0.3, 6))
            await asyncio.sleep(self.random.uniform(6, 10))
            if upstream.id != incarnation:
                return
        upstream.name_limit(None)

    # The operator.
    async def configure(self, lasts):
        self.soak.configure(drop_extra=self.random.random() < 0.3)

    async def storm(self, lasts):
        for _ in range(5):
            self.soak.configure()
            await asyncio.sleep(0.15)

    async def evacuate(self, lasts):
        upstream = self.upstream()
        self.soak.store.write(f"op/evacuate/{upstream.data_centre}", "{}")
        await asyncio.sleep(lasts)
        self.soak.store.remove(f"op/evacuate/{upstream.data_centre}")
