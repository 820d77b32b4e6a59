"""Commands that manage organisations and their keys."""

from __future__ import annotations

import hashlib
import secrets

import attrs

from teaseldyke.configuration import SwitchKind

from .errors import UsageInvalid
from .session import Session
from .switch_commands import set_switch

KEY_BYTES = 32
_KIND: SwitchKind = "organisation"


@attrs.frozen
class OrganisationCommands:
    """Create, disable and enable organisations and rotate their keys.

    Parameters
    ----------
    session : Session
        Options of the command.
    """

    session: Session

    def create(
        self, name: str, share: float, services: str | tuple[str, ...] = ()
    ) -> None:
        """Create an organisation and print its key, which cannot be shown again.

        Parameters
        ----------
        name : str
            Unique name.
        share : float
            Weight in fair sharing.
        services : str
            Services that it may use, separated by commas.
        """
        if isinstance(share, bool) or not isinstance(share, (int, float)):
            raise UsageInvalid(f"--share={share}: expected a number above 0")
        body = {
            "name": str(name),
            "share": float(share),
            "services": _service_names(services),
        }
        self._issue_key("/v1/organisations", body, f"create organisation {name}")

    def rotate_key(self, name: str, keep_old: bool = False) -> None:
        """Replace the key of an organisation and print the new one.

        Parameters
        ----------
        name : str
            Name of the organisation.
        keep_old : bool
            Whether the current key remains valid until the next rotation.
        """
        path = f"/v1/organisations/{name}/rotate-key"
        old = "remains valid beside the new one" if keep_old else "stops at once"
        self._issue_key(
            path,
            {"keep_old": bool(keep_old)},
            f"replace the key of {name}; the old one {old}",
        )

    def disable(self, name: str) -> None:
        """Refuse all requests of an organisation, including queued ones."""
        set_switch(self.session, _KIND, name, out=True)

    def enable(self, name: str) -> None:
        """Accept requests of an organisation again."""
        set_switch(self.session, _KIND, name, out=False)

    def _issue_key(self, path: str, body: dict[str, object], question: str) -> None:
        if self.session.change_id:
            raise UsageInvalid(
                "a change with a new key cannot be repeated by its id, since the key "
                "is not stored; rotate the key again instead"
            )
        key = secrets.token_urlsafe(KEY_BYTES)
        key_hash = hashlib.sha256(key.encode()).hexdigest()
        accepted = self.session.change(
            "POST", path, {**body, "key_hash": key_hash}, question
        )
        if accepted is not None:
            self.session.output.rows([{"key": key}])


def _service_names(services: str | tuple[str, ...]) -> list[str]:
    parts = services.split(",") if isinstance(services, str) else services
    return [str(part).strip() for part in parts if str(part).strip()]
