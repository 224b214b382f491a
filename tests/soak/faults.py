# SPDX-FileCopyrightText: 2026 portpaddle contributors
# SPDX-License-Identifier: Apache-2.0
"""The seeded schedule of faults: several overlap, each is healed by itself."""
import asyncio
import signal
from collections import Counter

GAP = 0.5  # mean seconds between two faults
LONGEST = 3.0  # seconds that one lasts
SERIES = 4  # times that daemons are killed in a row
BETWEEN_KILLS = 1.5  # seconds; a daemon serves again after some tenths of one


# Work that must not cost a request.
PLANNED = ("stop", "hang_up", "configure", "storm", "upstream_leaves")
# What presses on the budget of repeats: failing services, and daemons that forget, miss or hold up what was spent, or take over the
# callers of others.
PRESSING = ("spoil_service", "spoil_service", "move_callers", "stop_in_turn", "kill_in_series", "power_loss", "kill_many",
            "pause", "stop", "join", "store_cut", "store_down", "link_silent", "upstream_leaves")
# What strikes while a service fails, after a calm in which every daemon could save.
STRIKES = ("power_loss", "kill_in_series", "kill_many", "move_callers", "stop_in_turn", "link_silent")
CALM = (9.0, 13.0)  # seconds without a fault, at least and at most
FAILURES = 4.0  # a third of the seconds for which the service fails then
# What presses on the limits that upstreams name: daemons that forget, miss or hold up, and upstreams that start again.
LIMITING = ("name_limit", "name_limit", "name_limit", "name_limit", "kill_in_series", "power_loss", "kill", "kill_many", "pause", "stop",
            "join", "store_cut", "store_down", "link_silent", "link_delay", "upstream_crash", "spoil")
# What presses on what upstreams say of themselves: daemons that forget or hold up, and a store that tells late or an older record.
TELLING = ("tell_leaving", "tell_leaving", "tell_leaving", "ask_for_time", "ask_for_time", "ask_for_time", "kill_in_series", "power_loss",
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
                      self.join, self.spoil_service, self.name_limit, self.tell_leaving, self.ask_for_time]
        if soak.planned_only:
            self.kinds = [kind for kind in self.kinds if kind.__name__ in PLANNED]
        if soak.options.press:
            self.kinds = [getattr(self, name) for name in PRESSING]
        if soak.options.limits:
            self.kinds = [getattr(self, name) for name in LIMITING]
        if soak.options.notices:
            self.kinds = [getattr(self, name) for name in TELLING]

    async def run(self, seconds):
        end = self.soak.now() + seconds
        while self.soak.now() < end:
            until = end
            if self.soak.options.press:
                await self.strike_after_calm()
                until = min(end, self.soak.now() + self.random.uniform(*CALM))
            while self.soak.now() < until:
                await asyncio.sleep(self.random.expovariate(1 / GAP))
                self.begin(self.random.choice(self.kinds))

    def begin(self, kind, lasts=None):
        self.counts[kind.__name__] += 1
        lasts = lasts or self.random.uniform(0.2, LONGEST)
        if kind not in (self.configure, self.upstream_leaves, self.evacuate, self.name_limit):
            self.soak.disturb(lasts + (6 if kind == self.store_away else 1))
        self.tasks.append(asyncio.create_task(kind(lasts)))

    async def strike_after_calm(self):
        await self.heal()
        await asyncio.sleep(self.random.uniform(*CALM))
        self.begin(self.spoil_service, FAILURES)
        await asyncio.sleep(self.random.uniform(0.3, 3))
        self.begin(getattr(self, self.random.choice(STRIKES)))

    async def heal(self):
        """Waits for all that is in force to end."""
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
        self.soak.disturb(SERIES * BETWEEN_KILLS)
        for _ in range(SERIES):
            chosen = self.random.sample(self.soak.daemons, max(1, len(self.soak.daemons) * 6 // 10))
            await asyncio.gather(*(self.restart(daemon, daemon.kill) for daemon in chosen))
            await asyncio.sleep(BETWEEN_KILLS)

    async def power_loss(self, lasts):
        async def lose(daemon):
            await daemon.kill()
            await asyncio.sleep(lasts)

        await asyncio.gather(*(self.restart(daemon, lambda daemon=daemon: lose(daemon)) for daemon in list(self.soak.daemons)))

    async def stop_in_turn(self, lasts):
        """Orders to stop, one daemon after the other, without waiting for the one before."""
        chosen = self.random.sample(self.soak.daemons, max(1, len(self.soak.daemons) // 2))
        self.soak.disturb(9 + len(chosen) * lasts / 4)
        stops = []
        for daemon in chosen:
            stops.append(asyncio.create_task(self.restart(daemon, daemon.stop)))
            await asyncio.sleep(lasts / 4)
        await asyncio.gather(*stops)

    async def move_callers(self, lasts):
        """All callers turn to some of the daemons, and later to the others."""
        some = self.random.sample(self.soak.daemons, max(1, len(self.soak.daemons) // 3))
        self.soak.frequented = some
        await asyncio.sleep(2 * lasts)
        self.soak.frequented = [daemon for daemon in self.soak.daemons if daemon not in some]
        await asyncio.sleep(2 * lasts)
        self.soak.frequented = None

    async def join(self, lasts):
        await self.soak.add_spare()

    async def stop(self, lasts):
        self.soak.disturb(9)
        daemon = self.daemon()
        await self.restart(daemon, daemon.stop)

    async def hang_up(self, lasts):
        daemon = self.daemon()
        # Before its first instructions nothing can keep the signal from ending a process.
        if daemon.minds(signal.SIGHUP):
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

    async def until_bytes_pass(self, proxy, lasts):
        """Until then @p proxy holds bytes back; what was under way arrives late."""
        end = self.soak.now() + lasts
        while self.soak.now() < end:
            proxy.disturbed_at = self.soak.now() + 0.1
            await asyncio.sleep(0.1)

    async def link_delay(self, lasts):
        proxy = self.any_proxy()
        proxy.delay = 0.05
        await self.until_bytes_pass(proxy, lasts)
        proxy.delay = 0

    async def link_reset(self, lasts):
        self.any_proxy().reset_all()

    async def link_silent(self, lasts):
        proxy = self.any_proxy()
        proxy.silent_up, proxy.silent_down = self.random.choice([(True, True), (True, False), (False, True)])
        await self.until_bytes_pass(proxy, lasts)
        proxy.silent_up = proxy.silent_down = False

    async def entry_reset(self, lasts):
        self.daemon().entry_proxy.reset_all()

    # Upstreams.
    async def spoil(self, lasts):
        upstream = self.upstream()
        upstream.mode = self.random.choice(["errors", "lost", "torn", "extra", "shed", "slow"])
        await asyncio.sleep(lasts)
        upstream.mode = None

    async def spoil_service(self, lasts):
        """Every upstream of a service fails, so that daemons make all the repeats that they may."""
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
        life = upstream.id
        upstream.register("draining")
        await asyncio.sleep(4.5)
        if upstream.id == life:
            self.soak.store.remove(f"servers/{life}")
            await asyncio.sleep(1)
        if upstream.id == life:
            await upstream.begin(upstream.host, None)

    async def tell_leaving(self, lasts):
        """Only answers tell for a while, in which its entry may lapse and come back; then the store does."""
        upstream = self.upstream()
        life = upstream.id
        if upstream.tells_leaving:
            return
        upstream.tells_leaving = True
        await asyncio.sleep(lasts)
        if upstream.id == life and self.random.random() < 0.5:
            self.soak.store.remove(f"servers/{life}")
            await asyncio.sleep(self.random.uniform(0.1, 1.5))
            if upstream.id == life:
                upstream.register()
        await asyncio.sleep(2 * lasts)
        if upstream.id == life:
            await self.upstream_leaves(lasts, upstream)

    async def ask_for_time(self, lasts):
        """One upstream, or all of a service, turn most requests away and want nothing from who sent them for a time."""
        one = self.upstream()
        upstreams = [one] if self.random.random() < 0.5 else [other for other in self.soak.upstreams if other.service == one.service]
        for upstream in upstreams:
            upstream.asks_for = self.random.uniform(1, 5)
        await asyncio.sleep(3 * lasts)
        for upstream in upstreams:
            upstream.asks_for = None

    async def store_away(self, lasts):
        self.soak.store.down = True
        await asyncio.sleep(lasts + 5)
        self.soak.store.down = False

    async def upstream_vanishes(self, lasts):
        upstream = self.upstream()
        life = upstream.id
        self.soak.store.remove(f"servers/{life}")
        upstream.left_since = self.soak.now()
        await asyncio.sleep(4.5)
        if upstream.id == life:
            await upstream.begin(upstream.host, None)

    async def name_limit(self, lasts):
        """Names a limit, changes it at times and ends it, unless the upstream's life ends first."""
        upstream = self.upstream()
        life = upstream.id
        if upstream.limit is not None:
            return
        for _ in range(self.random.randint(1, 3)):
            upstream.name_limit(self.random.uniform(0.3, 6))
            await asyncio.sleep(self.random.uniform(6, 10))
            if upstream.id != life:
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
