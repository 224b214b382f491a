#!/usr/bin/python3
# SPDX-FileCopyrightText: 2026 portpaddle contributors
# SPDX-License-Identifier: Apache-2.0
"""Streams that broke off when all real daemons were killed at once beside two software versions, and are taken up again.
Usage: rejoined_streams_tests.py PROGRAM
"""
import asyncio
import unittest

from version_fleet import VersionFleet

RECORDED = 3.0  # seconds in which daemons record that streams begin at a version
MAX_PAUSE = 1.5  # seconds between a change of versions and the kill


class RejoinedStreams(VersionFleet):
    async def kill_all_and_take_up(self, newest):
        """Kills all daemons at once, and takes the streams up before and after new ones begin at @p newest."""
        await self.restart_all()
        await self.eventually(self.all_serve)
        await self.take_all_up()
        await self.await_version(newest)
        await self.take_all_up()
        await asyncio.sleep(RECORDED)
        await self.take_all_up()

    async def test_streams_of_the_only_version_go_on_after_all_daemons_were_killed(self):
        await self.begin_streams({"v1"})
        await self.restart_all()
        await self.eventually(self.all_serve)

        async def all_went_on():
            return await self.take_all_up() == set(self.begun)

        await self.eventually(all_went_on)

    async def test_streams_are_not_joined_after_all_daemons_were_killed_beside_two_versions(self):
        await self.begin_version("v2")
        await self.begin_streams({"v1", "v2"})
        await self.kill_all_and_take_up("v2")

    async def test_streams_are_not_joined_after_the_old_version_left_and_all_daemons_were_killed(self):
        await self.begin_streams({"v1"})
        await self.begin_version("v2")
        self.remove_version("v1")
        await asyncio.sleep(self.random.uniform(0, MAX_PAUSE))
        await self.kill_all_and_take_up("v2")

    async def test_streams_are_not_joined_after_the_version_changed_while_all_daemons_were_killed(self):
        await self.begin_streams({"v1"})
        await asyncio.gather(*(daemon.kill() for daemon in self.daemons))
        await self.begin_version("v2")
        self.remove_version("v1")
        await self.kill_all_and_take_up("v2")

    async def test_streams_are_not_joined_after_the_new_version_left_and_all_daemons_were_killed(self):
        await self.begin_version("v2")
        await self.begin_streams({"v1", "v2"})
        self.remove_version("v2")
        await asyncio.sleep(self.random.uniform(0, MAX_PAUSE))
        await self.kill_all_and_take_up("v1")


if __name__ == "__main__":
    unittest.main()
