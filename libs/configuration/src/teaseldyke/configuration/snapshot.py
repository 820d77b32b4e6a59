"""One version of the configuration with what tells it apart from others."""

from __future__ import annotations

import attrs

from teaseldyke.types import Configuration, Switches

from .records import Head
from .sheet import Sheet, combine


@attrs.frozen
class Snapshot:
    """A consistent state of the store at one version.

    Parameters
    ----------
    head : Head
        Versions and hash.
    sheet : Sheet
        Sheet in force at that version.
    switches : Switches
        What is out at that version.
    """

    head: Head = attrs.field(factory=Head)
    sheet: Sheet = attrs.field(factory=Sheet)
    switches: Switches = attrs.field(factory=Switches)
    configuration: Configuration = attrs.field(init=False, repr=False, eq=False)

    def __attrs_post_init__(self) -> None:
        made = combine(self.sheet, self.switches, self.head.version)
        object.__setattr__(self, "configuration", made)

    @property
    def version(self) -> int:
        """Total version."""
        return self.head.version
