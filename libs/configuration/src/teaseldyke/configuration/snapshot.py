"""One version of the configuration, with its version numbers and hash."""

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
        Versions, and the hash of the sheet.
    sheet : Sheet
        Sheet in force at that version.
    switches : Switches
        State of the switches at that version.
    """

    head: Head = attrs.field(factory=Head)
    sheet: Sheet = attrs.field(factory=Sheet)
    switches: Switches = attrs.field(factory=Switches)
    configuration: Configuration = attrs.field(init=False, repr=False, eq=False)

    def __attrs_post_init__(self) -> None:
        configuration = combine(self.sheet, self.switches, self.head.version)
        object.__setattr__(self, "configuration", configuration)

    @property
    def version(self) -> int:
        """Total version."""
        return self.head.version
