"""Pages and columns of a sheet, for reading, writing and documentation."""

from __future__ import annotations

import attrs

from teaseldyke.settings import NAME_PATTERN

HASH_PATTERN = "[0-9a-f]{64}"
METHOD_PATTERN = r"\*|[A-Z]+"
PATH_PATTERN = r"/[!-~]*"


@attrs.frozen
class Column:
    """One column of a page.

    Parameters
    ----------
    name : str
        Header.
    doc : str
        Meaning of the column.
    kind : {"text", "integer", "number", "boolean", "texts", "ip"}
        Type of a cell; ``texts`` are separated by spaces.
    default : str, optional
        Value of an empty cell or a missing column; ``None`` if a value is required.
    pattern : str, optional
        Regular expression that a text must match.
    choices : tuple of str
        The only texts allowed, when not empty.
    low, high : float, optional
        Smallest and largest number allowed.
    page : str, optional
        Page whose first column must contain the text.
    """

    name: str
    doc: str
    kind: str = "text"
    default: str | None = None
    pattern: str | None = None
    choices: tuple[str, ...] = ()
    low: float | None = None
    high: float | None = None
    page: str | None = None


@attrs.frozen
class Page:
    """One page of a workbook, or one CSV file.

    Parameters
    ----------
    name : str
        Name of the page; the CSV file has the extension ``.csv``.
    doc : str
        Meaning of a row.
    columns : tuple of Column
        In the order in which they are written.
    key : tuple of str
        Columns whose combination of values must be unique.
    optional : bool
        Whether the page may be missing.
    """

    name: str
    doc: str
    columns: tuple[Column, ...]
    key: tuple[str, ...]
    optional: bool = False


def _name(doc: str) -> Column:
    return Column("name", doc, pattern=NAME_PATTERN)


ORGANISATIONS = Page(
    "organisations",
    "One organisation that shares capacity.",
    (
        _name("Unique name."),
        Column("share", "Weight in the fair order.", "number", low=0.001, high=1e6),
        Column(
            "key_hashes",
            "SHA-256 of each accepted key, separated by spaces.",
            "texts",
            default="",
            pattern=HASH_PATTERN,
        ),
        Column("disabled", "Whether all its requests are refused.", "boolean", "no"),
    ),
    ("name",),
)

SERVICES = Page(
    "services",
    "One pool of backend servers that answer the same requests.",
    (
        _name("Unique name, as in a caller's path."),
        Column(
            "kind",
            "Model engine (charged by tokens) or plain service (charged by request).",
            choices=("engine", "plain"),
        ),
        Column(
            "limit",
            "Concurrent requests that one warm backend server bears.",
            "integer",
            low=1,
            high=10000,
        ),
        Column(
            "cold_limit",
            "Concurrent requests that a freshly started one bears.",
            "integer",
            "1",
            low=1,
            high=10000,
        ),
        Column(
            "warm_after_requests",
            "Completed requests after which one counts as warm.",
            "integer",
            "8",
            low=0,
            high=1000000,
        ),
        Column(
            "queue_limit",
            "Waiting requests of one organisation in one router.",
            "integer",
            "64",
            low=1,
            high=100000,
        ),
        Column(
            "queue_timeout_s",
            "Longest wait of a request without a deadline of its own.",
            "number",
            "30",
            low=0.1,
            high=86400,
        ),
        Column(
            "answer_limit_bytes",
            "Largest answer body passed on.",
            "integer",
            "16777216",
            low=1,
            high=2**40,
        ),
        Column(
            "checks_fencing",
            "Whether backend servers refuse an old fencing number.",
            "boolean",
            "no",
        ),
        Column(
            "shards",
            "Number of dispatchers that the service is split over.",
            "integer",
            "1",
            low=1,
            high=1000,
        ),
    ),
    ("name",),
)

RULES = Page(
    "rules",
    "Says whether matching requests are idempotent; the first match in order decides.",
    (
        Column("service", "Service that the rule belongs to.", page="services"),
        Column("method", "HTTP method, or * for all.", pattern=METHOD_PATTERN),
        Column("path_prefix", "Start of the path.", pattern=PATH_PATTERN),
        Column("idempotent", "Whether a request may run more than once.", "boolean"),
    ),
    ("service", "method", "path_prefix"),
)

REACH = Page(
    "reach",
    "Lets one organisation reach one service.",
    (
        Column("organisation", "Who may call.", page="organisations"),
        Column("service", "What may be called.", page="services"),
    ),
    ("organisation", "service"),
)

BACKEND_SERVERS = Page(
    "backend_servers",
    "One model engine or one process of a plain service.",
    (
        _name("Unique name."),
        Column("service", "Service that it belongs to.", page="services"),
        Column("host", "IP number.", "ip"),
        Column("port", "TCP port.", "integer", low=1, high=65535),
        Column(
            "failure_domain",
            "Failure domain that it stands in.",
            page="failure_domains",
        ),
    ),
    ("name",),
)

FAILURE_DOMAINS = Page(
    "failure_domains",
    "One failure domain.",
    (_name("Unique name."),),
    ("name",),
)

EXPORT = Page(
    "export",
    "The version that an exported sheet was taken from; planners leave it as it is.",
    (
        Column(
            "base_version",
            "A change after this version is a conflict.",
            "integer",
            low=0,
            high=2**53,
        ),
    ),
    ("base_version",),
    optional=True,
)

PAGES = {
    page.name: page
    for page in (
        ORGANISATIONS,
        SERVICES,
        RULES,
        REACH,
        BACKEND_SERVERS,
        FAILURE_DOMAINS,
        EXPORT,
    )
}
