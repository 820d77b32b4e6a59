"""Announcement of a backend server in the platform's instance list."""

from __future__ import annotations

import attrs
import trio
from absl import logging

from teaseldyke.platform import Instance, InstanceList
from teaseldyke.types import AnswerLost, PlatformUnavailable

RENEWALS = 3  # announcements within the time to live of one


async def announce_periodically(
    instances: InstanceList,
    instance: Instance,
    ttl_s: float,
    leaving: trio.Event,
) -> None:
    """Announce a backend server as live, and as leaving once the event is set.

    Runs until cancelled. An announcement that fails is retried at the next renewal.
    """
    available = True
    while True:
        if leaving.is_set():
            instance = attrs.evolve(instance, state="leaving")
        available = await _announce(instances, instance, ttl_s, available)
        with trio.move_on_after(ttl_s / RENEWALS):
            if instance.state == "leaving":
                await trio.sleep_forever()
            await leaving.wait()


async def _announce(
    instances: InstanceList, instance: Instance, ttl_s: float, available: bool
) -> bool:
    try:
        await instances.announce(instance, ttl_s)
    except (AnswerLost, PlatformUnavailable) as exc:
        if available:
            logging.warning("event=announce_failed detail=%r", exc.detail)
        return False
    if not available:
        logging.info("event=announce_resumed name=%s", instance.name)
    return True
