"""One send to one replica over kept connections."""

from __future__ import annotations

import asyncio
import enum
import socket
import time
from collections.abc import Callable
from contextlib import asynccontextmanager
from dataclasses import dataclass, field

import aiohttp
from multidict import CIMultiDict
from yarl import URL

from .headers import DEADLINE, ECHO, EXPECT_ID, NOT_RUN, SEAL, pass_on
from .connection_pool import AGAIN, ONCE, USE, PooledConnector, NotSentError, Use

_QUIET = frozenset({"Accept", "Accept-Encoding", "User-Agent", "Content-Type"})


class Ran(enum.Enum):
    NO = "no"  # it has not run and never will
    YES = "yes"  # it ran: the answer is whole
    MAYBE = "maybe"  # nobody can say


@dataclass(slots=True)
class Answer:
    """What one send brought back.

    >>> Answer(Ran.YES, 200).good
    True
    """

    ran: Ran
    status: int = 0
    heads: list = field(default_factory=list)
    body: bytes = b""
    why: str = ""
    silent: bool = False
    stale: bool = False  # a kept connection was forgotten, or nothing was sent: which is no ill health

    @property
    def good(self) -> bool:
        return self.ran is Ran.YES and 200 <= self.status < 300


def _socket(info) -> socket.socket:
    fam, kind, proto, _, _ = info
    sock = socket.socket(fam, kind, proto)
    sock.setblocking(False)
    sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
    sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_USER_TIMEOUT, 3000)
    return sock


class StaleConnectionError(aiohttp.ServerDisconnectedError):
    """A kept connection was reset before any answer: the replica had forgotten it. The request may have run."""


class UpstreamClient:
    """Holds the connections to replicas; sends requests as they are, byte for byte.

    >>> # answer = await client.send("10.0.0.9:8080", "i-1", "POST", "/a/b", heads, body, rid="r", timeout_s=1.0)
    """

    def __init__(self, per_host: int = 0, now=time.monotonic, counters=None):
        self.now = now
        self.kept = PooledConnector(
            now,
            counters,
            limit=0,
            limit_per_host=per_host,
            keepalive_timeout=30,
            enable_cleanup_closed=False,
            use_dns_cache=False,
            force_close=False,
            socket_factory=_socket,
        )
        self.session = aiohttp.ClientSession(
            connector=self.kept,
            auto_decompress=False,
            cookie_jar=aiohttp.DummyCookieJar(),
            trust_env=False,
            skip_auto_headers=_QUIET,
            timeout=aiohttp.ClientTimeout(total=None),
            read_bufsize=1 << 18,
        )
        self.session._retry_connection = False  # a send that failed is ours to judge, never repeated unseen

    async def close(self) -> None:
        await self.session.close()

    def idle(self, address: str) -> bool:
        """Whether a send to an address needs no new connection.

        >>> # upstream_client.idle("10.0.0.9:8080")
        """
        return self.kept.idle(address)

    @asynccontextmanager
    async def ask(
        self,
        address: str,
        iid: str,
        method: str,
        target: str,
        heads,
        body: bytes,
        timeout_s: float,
        mode: str = "",
        may_send: Callable[[], bool] | None = None,
    ):
        """A request in the making: an async context that gives the raw response.

        mode AGAIN: it may be repeated; when a kept connection turns out to be forgotten, it goes out once more at once.
        mode ONCE: it may run only once; it goes on a kept connection only where that is proven safe. Otherwise any kept
        connection is used, and StaleConnectionError tells that it was forgotten.
        may_send is asked once the connection is there, right before the write; if it says no, nothing is written, and
        NotSentError is raised.
        """
        out = CIMultiDict(pass_on(heads))
        if iid:
            out[EXPECT_ID] = iid
        end = self.now() + timeout_s
        while True:
            left = max(0.001, end - self.now())
            if timeout_s > 0:
                out[DEADLINE] = str(max(1, int(left * 1000)))
            use, response = Use(mode, may_send=may_send), None
            USE.set(use)
            try:
                async with self.session.request(
                    method,
                    URL(f"http://{address}{target}", encoded=True),
                    headers=out,
                    data=body if body else None,
                    allow_redirects=False,
                    timeout=aiohttp.ClientTimeout(
                        total=left if timeout_s > 0 else None, sock_connect=min(1.0, timeout_s or 1.0)
                    ),
                ) as response:
                    self.kept.served(address, use, response.headers.get("Keep-Alive", ""))
                    yield response
                    return
            except aiohttp.ClientConnectorError:
                raise
            except (aiohttp.ClientOSError, aiohttp.ServerDisconnectedError) as e:
                if response is not None or not self.kept.was_reset(address, use):
                    raise
                if mode != AGAIN:
                    raise StaleConnectionError(repr(e)) from e
                if timeout_s > 0 and self.now() >= end:
                    raise

    async def send(
        self,
        address: str,
        iid: str,
        method: str,
        target: str,
        heads,
        body: bytes,
        rid: str,
        timeout_s: float,
        mode: str = "",
        may_send: Callable[[], bool] | None = None,
    ) -> Answer:
        """Send and read the whole answer; says what is certain about it. The modes are those of ask()."""
        try:
            async with self.ask(address, iid, method, target, heads, body, timeout_s, mode, may_send) as response:
                if not belongs(response, rid, mode):
                    response.close()
                    return Answer(Ran.MAYBE, why="answer of another request")
                data = await response.read()
                if not has_end(response):
                    return Answer(Ran.MAYBE, response.status, why="nothing tells where its body ends")
                return judge(response.status, list(response.headers.items()), data)
        except NotSentError as e:
            return Answer(Ran.NO, why=repr(e), stale=True)
        except (aiohttp.ClientConnectorError, aiohttp.ConnectionTimeoutError) as e:
            return Answer(Ran.NO, why=repr(e), silent=True)  # there was no connection to send it on
        except StaleConnectionError as e:
            return Answer(Ran.MAYBE, why=repr(e), stale=True)
        except (asyncio.TimeoutError, TimeoutError) as e:
            return Answer(Ran.MAYBE, why=repr(e), silent=True)
        except (aiohttp.ClientError, OSError, ValueError) as e:
            return Answer(Ran.MAYBE, why=repr(e))


def belongs(response, rid: str, mode: str = "") -> bool:
    """Whether an answer may count as that of a request: it bears the request's id, once or more often, and no other.

    Without an id it proves nothing, but that a request which may be repeated can go elsewhere. An interim answer (1xx)
    in the place of the final one is none.
    """
    echoes = response.headers.getall(ECHO, [])
    if response.status < 200 or any(echo != rid for echo in echoes):
        return False
    return bool(echoes) or (mode != ONCE and says_not_run(response))


def says_not_run(response) -> bool:
    """Whether an answer says that its request was turned away."""
    return NOT_RUN in response.headers or response.status == 421


def has_end(response) -> bool:
    """Whether an answer states where its body ends. One that ends with its connection looks whole when it was cut."""
    return (
        response.method == "HEAD"
        or response.status in (204, 304)
        or "Content-Length" in response.headers
        or "chunked" in response.headers.get("Transfer-Encoding", "").lower()
    )


def judge(status: int, heads: list, body: bytes) -> Answer:
    """What a whole answer proves.

    >>> judge(503, [(NOT_RUN, "1")], b"").ran, judge(200, [], b"").ran
    (<Ran.NO: 'no'>, <Ran.MAYBE: 'maybe'>)
    """
    names = {k.lower() for k, _ in heads}
    if NOT_RUN.lower() in names or status == 421:
        return Answer(Ran.NO, status, heads, body, "turned away")
    if 200 <= status < 300 and SEAL.lower() not in names:
        return Answer(Ran.MAYBE, status, why="no seal")
    if "content-encoding" in names:
        return Answer(Ran.MAYBE, status, why="encoded")
    return Answer(Ran.YES, status, heads, body)
