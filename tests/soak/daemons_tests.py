#!/usr/bin/python3
# SPDX-FileCopyrightText: 2026 portpaddle contributors
# SPDX-License-Identifier: Apache-2.0
"""Tests what a deployment has to offer in order to start daemons."""
import json
import tempfile
import unittest
from types import SimpleNamespace

from daemons import LIMITS, Daemon


class DaemonsTest(unittest.TestCase):
    def setUp(self):
        self.directory = tempfile.TemporaryDirectory(prefix="portpaddle-daemons-")
        self.addCleanup(self.directory.cleanup)
        self.deployment = SimpleNamespace(program="portpaddled", directory=self.directory.name, daemons=[], bounds={}, now=lambda: 0.0,
                                          process_ended=lambda *_: None)

    def make_daemon(self):
        ports = {"entry": 1, "readiness": 2, "directory": 3, "link": 4}
        daemon = Daemon(self.deployment, "d0", "north", "north-1", "127.0.0.1", ports, 5)
        self.addCleanup(daemon.log.close)
        daemon.store_proxy = SimpleNamespace(port=5)
        return daemon

    def written_limits(self):
        with open(self.make_daemon().write_settings(is_first=True)) as file:
            return json.load(file)["settings"]["limits"]

    # The cases of review/ name no limits; every one that starts daemons ended before it began.
    def test_deployment_without_limits_has_those_of_the_soak(self):
        self.assertEqual(self.written_limits(), LIMITS)

    def test_limits_of_a_deployment_take_the_place_of_those_of_the_soak(self):
        self.deployment.limits = {"memoryMb": 99}
        self.assertEqual(self.written_limits(), {**LIMITS, "memoryMb": 99})

    def test_deployment_that_lacks_a_field_is_told_so_before_any_daemon_starts(self):
        del self.deployment.bounds, self.deployment.process_ended
        with self.assertRaisesRegex(TypeError, "cannot start daemons, it lacks: bounds, process_ended"):
            self.make_daemon()


if __name__ == "__main__":
    unittest.main()
