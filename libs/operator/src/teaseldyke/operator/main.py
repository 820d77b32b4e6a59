"""Entry point of ``teaseldyke-operator``."""

from __future__ import annotations

import sys
from typing import Any

import fire

from teaseldyke.types import TeaseldykeError

from .errors import EXIT_UNEXPECTED, OperatorError, UsageInvalid
from .fleet_commands import show_status, wait_for_version
from .organisation_commands import OrganisationCommands
from .output import Output
from .session import Session
from .sheet_commands import SheetCommands
from .switch_commands import SwitchCommands

DEFAULT_ROUTER = "127.0.0.1:8082"
WAIT_TIMEOUT_S = 30.0


class Operator:
    """Operates a fleet of routers through the administration API of any of them.

    The token is read from --token-file or from TEASELDYKE_TOKEN. Every change has an
    id; a command that ends with status 7 can be repeated with --change-id.
    Options go after the command.

    sheet check|diff|apply|export|history; organisation create|rotate-key|disable|
    enable; failure-domain out|in|status; instance out|in; backend-server out|in;
    status; wait VERSION. Each command has its own --help.

    Parameters
    ----------
    router : str
        Administration addresses, separated by commas, tried in this order.
    token_file : str
        File with the operator's token.
    output : str
        Output format: table or json.
    yes : bool
        Proceed without asking for confirmation.
    dry_run : bool
        Show what would change without changing anything.
    change_id : str
        Id of a change to repeat.
    """

    def __init__(
        self,
        *,
        router: str = DEFAULT_ROUTER,
        token_file: str = "",
        output: str = "table",
        yes: bool = False,
        dry_run: bool = False,
        change_id: str = "",
    ) -> None:
        if output not in ("table", "json"):
            raise UsageInvalid(f"--output={output}: expected table or json")
        for option, value in (("yes", yes), ("dry-run", dry_run)):
            if not isinstance(value, bool):
                raise UsageInvalid(f"--{option} takes no value: put it at the end")
        routers = ",".join(router) if isinstance(router, (tuple, list)) else str(router)
        self._session = Session(
            routers,
            str(token_file),
            Output(output, sys.stdout),  # type: ignore[arg-type]
            yes,
            dry_run,
            str(change_id),
        )
        sheet = SheetCommands(self._session)
        organisation = OrganisationCommands(self._session)
        domains = SwitchCommands(self._session, "failure-domain")
        self.sheet = {
            "check": sheet.check,
            "diff": sheet.diff,
            "apply": sheet.apply,
            "export": sheet.export,
            "history": sheet.history,
        }
        self.organisation = {
            "create": organisation.create,
            "rotate_key": organisation.rotate_key,
            "disable": organisation.disable,
            "enable": organisation.enable,
        }
        self.failure_domain = {**_switch_verbs(domains), "status": domains.status}
        self.instance = _switch_verbs(SwitchCommands(self._session, "instance"))
        self.backend_server = _switch_verbs(
            SwitchCommands(self._session, "backend-server")
        )

    def status(self) -> None:
        """Show the versions in force, what is switched out, and the routers' states."""
        show_status(self._session)

    def wait(self, version: int, timeout_s: float = WAIT_TIMEOUT_S) -> None:
        """Wait until a version is in force on all live routers.

        Parameters
        ----------
        version : int
            Version to wait for.
        timeout_s : float
            Maximum time to wait.
        """
        if isinstance(version, bool) or not isinstance(version, int):
            raise UsageInvalid(f"{version!r} is not a version")
        wait_for_version(self._session, version, float(timeout_s))


def main(arguments: list[str] | None = None) -> None:
    """Run the command line; errors end the process with their exit status."""
    try:
        fire.Fire(Operator, command=arguments, name="teaseldyke-operator")
    except OperatorError as exc:
        print(f"error: {exc.detail}", file=sys.stderr)
        raise SystemExit(exc.exit_status) from exc
    except TeaseldykeError as exc:
        print(f"error: {exc.code}: {exc.detail}", file=sys.stderr)
        raise SystemExit(EXIT_UNEXPECTED) from exc


def _switch_verbs(commands: SwitchCommands) -> dict[str, Any]:
    return {"out": commands.out, "in": commands.bring_in}
