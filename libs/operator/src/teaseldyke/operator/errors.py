"""Errors of the operator command and the exit status of each."""

from __future__ import annotations

from typing import ClassVar

from teaseldyke.types import Executed, TeaseldykeError

EXIT_DONE = 0
EXIT_UNEXPECTED = 1
EXIT_USAGE = 2  # same as the status that fire exits with on wrong usage
EXIT_SHEET_INVALID = 3
EXIT_CONFLICT = 4
EXIT_DENIED = 5
EXIT_UNAVAILABLE = 6
EXIT_OUTCOME_UNKNOWN = 7
EXIT_NOT_IN_FORCE = 8
EXIT_NOT_CONFIRMED = 9
EXIT_REFUSED = 10

EXIT_MEANINGS = {
    EXIT_DONE: "done, or nothing to do",
    EXIT_UNEXPECTED: "a fault of the command itself",
    EXIT_USAGE: "wrong arguments, or no token",
    EXIT_SHEET_INVALID: "the sheet has faults; nothing was changed",
    EXIT_CONFLICT: "another change came first; nothing was changed",
    EXIT_DENIED: "the token is not accepted, or its role does not allow this",
    EXIT_UNAVAILABLE: "no router or no store could be reached; nothing was changed",
    EXIT_OUTCOME_UNKNOWN: "may have been accepted; repeat with the change id shown",
    EXIT_NOT_IN_FORCE: "the version is not in force everywhere in time",
    EXIT_NOT_CONFIRMED: "not confirmed; nothing was changed",
    EXIT_REFUSED: "the router refused the request; nothing was changed",
}


class OperatorError(TeaseldykeError):
    """An error that ends the command with an exit status of its own."""

    exit_status: ClassVar[int] = EXIT_UNEXPECTED
    code = "operator"
    executed: Executed = "no"


class UsageInvalid(OperatorError):
    """An argument is wrong or missing."""

    exit_status = EXIT_USAGE


class SheetFaulty(OperatorError):
    """The sheet is invalid."""

    exit_status = EXIT_SHEET_INVALID


class ChangeConflict(OperatorError):
    """The change conflicts with another one that was accepted first."""

    exit_status = EXIT_CONFLICT


class AccessDenied(OperatorError):
    """The token is not accepted, or its role does not permit the request."""

    exit_status = EXIT_DENIED


class RouterUnavailable(OperatorError):
    """No router could be reached, or the router could not reach its store."""

    exit_status = EXIT_UNAVAILABLE


class OutcomeUnknown(OperatorError):
    """It is not known whether a change was accepted."""

    exit_status = EXIT_OUTCOME_UNKNOWN
    executed = "unknown"


class NotInForce(OperatorError):
    """A version did not come into force everywhere in time."""

    exit_status = EXIT_NOT_IN_FORCE


class NotConfirmed(OperatorError):
    """The operator did not confirm the change."""

    exit_status = EXIT_NOT_CONFIRMED


class RequestRefused(OperatorError):
    """The router refused the request."""

    exit_status = EXIT_REFUSED
