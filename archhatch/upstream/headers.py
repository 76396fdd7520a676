"""Names of the HTTP headers that the system reads and writes, and the rules by which headers are passed on."""

from collections.abc import Iterable

Headers = list[tuple[str, str]]

REQUEST_ID_HEADER = "X-Archhatch-Request-Id"  # a replica repeats it in its response
DEADLINE_MS_HEADER = "X-Archhatch-Deadline-Ms"
EXPECTED_INSTANCE_HEADER = "X-Archhatch-Expect-Instance"  # a replica with another id refuses the request
EXPECTED_REVISION_HEADER = "X-Archhatch-Expect-Revision"
REPLY_SEAL_HEADER = "X-Archhatch-Reply-Seal"  # marks a success as the engine's own
NOT_EXECUTED_HEADER = "X-Archhatch-Not-Executed"  # a replica's proof that the request did not run
INSTANCE_LOAD_HEADER = "X-Archhatch-Instance-Load"  # "running,waiting,slots"
WEIGHT_VERSIONS_HEADER = "X-Archhatch-Weight-Versions"
HOLD_MS_HEADER = "X-Archhatch-Hold-Ms"
URGENCY_LEVEL_HEADER = "X-Archhatch-Urgency-Level"
LAST_EVENT_ID_HEADER = "Last-Event-Id"
API_KEY_HEADER = "X-Archhatch-Key"
TENANT_HEADER = "X-Archhatch-Tenant"

# Statuses that promise a client that its request did not run and never will.
NOT_EXECUTED_STATUSES = frozenset({408, 421, 429, 503})

# RFC 9110, section 7.6.1, and the headers that each connection frames anew.
_HOP_BY_HOP = {
    "connection",
    "keep-alive",
    "te",
    "trailer",
    "transfer-encoding",
    "upgrade",
    "proxy-connection",
    "proxy-authenticate",
    "proxy-authorization",
    "content-length",
    "expect",
}
_IDENTITY = frozenset({API_KEY_HEADER.lower(), TENANT_HEADER.lower()})


def end_to_end_headers(headers: Iterable[tuple[str, str]]) -> Headers:
    """Returns the headers that concern more than one connection, in their order.

    >>> end_to_end_headers([("Host", "a"), ("Connection", "close, X-One"), ("X-One", "1"), ("X-Two", "2")])
    [('Host', 'a'), ('X-Two', '2')]
    """
    headers = list(headers)
    named = {
        token.strip().lower() for name, value in headers if name.lower() == "connection" for token in value.split(",")
    }
    return [(name, value) for name, value in headers if name.lower() not in _HOP_BY_HOP and name.lower() not in named]


def with_tenant(headers: Iterable[tuple[str, str]], tenant: str | None) -> Headers:
    """Returns headers as a replica may see them: without an API key, and with the tenant that the key belongs to.

    A tenant that the client named itself is dropped.

    >>> with_tenant([("x-archhatch-key", "k"), ("X-Archhatch-Tenant", "other"), ("A", "1")], "t")
    [('A', '1'), ('X-Archhatch-Tenant', 't')]
    >>> with_tenant([("A", "1")], None)
    [('A', '1')]
    """
    visible = [(name, value) for name, value in headers if name.lower() not in _IDENTITY]
    return visible if tenant is None else [*visible, (TENANT_HEADER, tenant)]
