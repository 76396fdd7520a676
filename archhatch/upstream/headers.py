"""The heads that the system reads and writes, and those it keeps from passing on."""

ECHO = "X-Archhatch-Request-Id"
DEADLINE = "X-Archhatch-Deadline-Ms"
EXPECT_ID = "X-Archhatch-Expect-Instance"
EXPECT_REV = "X-Archhatch-Expect-Revision"
SEAL = "X-Archhatch-Reply-Seal"
NOT_RUN = "X-Archhatch-Not-Executed"
LOAD = "X-Archhatch-Instance-Load"
VERSIONS = "X-Archhatch-Weight-Versions"
HOLD = "X-Archhatch-Hold-Ms"
URGENCY = "X-Archhatch-Urgency-Level"
LAST_ID = "Last-Event-Id"
KEY = "X-Archhatch-Key"
TENANT = "X-Archhatch-Tenant"
PROMISES = frozenset({408, 421, 429, 503})  # statuses which tell a client that its request has not run and never will

_ONE_HOP = {
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
_IDENTITY = frozenset({KEY.lower(), TENANT.lower()})


def pass_on(heads) -> list:
    """Heads that concern more than one connection, in their order.

    >>> pass_on([("Host", "a"), ("Connection", "close, X-One"), ("X-One", "1"), ("X-Two", "2")])
    [('Host', 'a'), ('X-Two', '2')]
    """
    heads = list(heads)
    named = {w.strip().lower() for k, v in heads if k.lower() == "connection" for w in v.split(",")}
    return [(k, v) for k, v in heads if k.lower() not in _ONE_HOP and k.lower() not in named]


def with_tenant(heads, tenant: str | None) -> list:
    """Headers as a replica may see them: without a key, and with the tenant that the system found in place of any that
    the sender named.

    >>> with_tenant([("x-archhatch-key", "k"), ("X-Archhatch-Tenant", "other"), ("A", "1")], "t")
    [('A', '1'), ('X-Archhatch-Tenant', 't')]
    >>> with_tenant([("A", "1")], None)
    [('A', '1')]
    """
    out = [(name, value) for name, value in heads if name.lower() not in _IDENTITY]
    return out if tenant is None else out + [(TENANT, tenant)]
