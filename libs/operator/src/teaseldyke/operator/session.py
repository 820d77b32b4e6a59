"""State shared by all commands: routers, token, output and confirmation."""

from __future__ import annotations

import os
import secrets
import sys
from collections.abc import Awaitable, Callable
from pathlib import Path
from typing import Any, TypeVar

import attrs
import trio

from teaseldyke.settings import Address

from .client import AcceptedChange, RouterClient
from .errors import NotConfirmed, UsageInvalid
from .output import Output

TOKEN_VARIABLE = "TEASELDYKE_TOKEN"
CHANGE_ID_BYTES = 8

T = TypeVar("T")


@attrs.frozen
class Session:
    """Options common to all commands.

    Parameters
    ----------
    router : str
        Administration addresses, separated by commas.
    token_file : str
        File with the operator's token; empty to use the environment variable.
    output : Output
        Destination and format of the output.
    yes : bool
        Whether changes proceed without confirmation.
    dry_run : bool
        Whether changes are only shown.
    change_id : str
        Id of the change to repeat; empty for a new change.
    """

    router: str
    token_file: str
    output: Output
    yes: bool = False
    dry_run: bool = False
    change_id: str = ""

    def run(self, call: Callable[[RouterClient], Awaitable[T]]) -> T:
        """Run a call with a client in a new event loop and return its result."""
        client = RouterClient(self._routers(), self._token())
        return trio.run(call, client)

    def change(
        self, method: str, path: str, body: dict[str, Any], question: str
    ) -> AcceptedChange | None:
        """Request a change after confirmation, and print the accepted change.

        Returns
        -------
        AcceptedChange or None
            ``None`` on a dry run.
        """
        if self.dry_run:
            self.output.note(f"dry run: {question}")
            return None
        self._confirm(question)
        change_id = self.change_id or secrets.token_hex(CHANGE_ID_BYTES)
        body = {"change_id": change_id, **body}
        accepted = self.run(lambda client: client.change(method, path, body))
        self.output.rows([attrs.asdict(accepted)])
        return accepted

    def _confirm(self, question: str) -> None:
        if self.yes:
            return
        if not sys.stdin.isatty():
            raise NotConfirmed(f"{question}: add --yes to proceed without confirmation")
        if input(f"{question}? [y/N] ").strip().lower() not in ("y", "yes"):
            raise NotConfirmed("not confirmed; nothing was changed")

    def _routers(self) -> list[Address]:
        try:
            return [Address.parse(text) for text in self.router.split(",")]
        except ValueError as exc:
            raise UsageInvalid(
                f"--router={self.router}: {exc}; expected IP number and port, as in "
                "10.0.0.1:8082, several separated by commas"
            ) from exc

    def _token(self) -> str:
        if self.token_file:
            try:
                return Path(self.token_file).read_text(encoding="utf-8").strip()
            except (OSError, UnicodeDecodeError) as exc:
                raise UsageInvalid(f"--token-file={self.token_file}: {exc}") from exc
        token = os.environ.get(TOKEN_VARIABLE, "")
        if not token:
            raise UsageInvalid(f"no token: give --token-file or set {TOKEN_VARIABLE}")
        return token
