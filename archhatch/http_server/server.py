"""A listener for HTTP/1.1: heads and bodies as they came, one writer for all answers.

aiohttp.web as a whole also brings routing, files and websockets; a start takes a fifth less processor time without
them.
"""

from __future__ import annotations

import asyncio

from aiohttp.http import HttpVersion11
from aiohttp.web_exceptions import HTTPRequestEntityTooLarge
from aiohttp.web_protocol import RequestHandler
from aiohttp.web_request import BaseRequest
from aiohttp.web_response import Response, StreamResponse
from aiohttp.web_server import Server

from ..runtime import Result, error_result


SLOW = b"HTTP/1.1 408 Request Timeout\r\nConnection: close\r\nContent-Length: 0\r\n\r\n"


class _Guest(RequestHandler):
    """One client's connection; knows since when a head is on its way."""

    __slots__ = ("opened", "head_since", "waiting")

    def __init__(self, *args, **kwargs):
        super().__init__(*args, **kwargs)
        self.opened = asyncio.get_running_loop().time()
        self.head_since, self.waiting = None, True

    def data_received(self, data: bytes) -> None:
        if self.waiting and self.head_since is None:
            self.head_since = asyncio.get_running_loop().time()
        super().data_received(data)


class _Server(Server):
    def __call__(self):
        return _Guest(self, loop=self._loop, **self._kwargs)


class HttpServer:
    """Serves handler(request, body) on an address; it gives a Result, or a stream that it wrote itself.

    cancel_on_disconnect: a handler whose client has closed the connection is cancelled.

    >>> # win = HttpServer(handler, log, counters); await win.open("10.0.0.1:8144"); await win.close(grace_s=6)
    """

    def __init__(self, handler, log, counters, limits=None, cancel_on_disconnect=False):
        self.handler, self.log, self.counters = handler, log, counters
        self.cancel_on_disconnect = cancel_on_disconnect
        self.limits = {} if limits is None else limits
        self.leaving = False
        self.under_way = 0
        self._srv = self._site = None

    def _factory(self, message, payload, protocol, writer, task):
        cap = int(self.limits.get("MaxBodyBytes", 32 << 20))
        return BaseRequest(message, payload, protocol, writer, task, asyncio.get_running_loop(), client_max_size=cap)

    async def open(self, address: str, sock=None) -> None:
        """Serve on an address, or on a socket that listens already."""
        host, port = address.rsplit(":", 1)
        where = {"sock": sock} if sock is not None else {"host": host, "port": int(port), "reuse_address": True}
        self._srv = _Server(
            self._serve,
            request_factory=self._factory,
            handler_cancellation=self.cancel_on_disconnect,
            auto_decompress=False,
            access_log=None,
            logger=_Quiet(self),
            keepalive_timeout=self.limits.get("IdleTimeoutMs", 15000) / 1000,
            tcp_keepalive=False,
            max_line_size=int(self.limits.get("MaxHeaderBytes", 16384)),
            max_field_size=int(self.limits.get("MaxHeaderBytes", 16384)),
            lingering_time=1.0,
        )
        self._sweep = asyncio.get_running_loop().create_task(self._sweep_loop())
        self._site = await asyncio.get_running_loop().create_server(self._srv, backlog=1024, **where)

    async def _sweep_loop(self) -> None:
        """End connections whose head takes longer than HeaderTimeoutMs, and those that never send one."""
        loop = asyncio.get_running_loop()
        while True:
            head_s = self.limits.get("HeaderTimeoutMs", 10000) / 1000
            await asyncio.sleep(head_s / 4)
            now, idle_s = loop.time(), self.limits.get("IdleTimeoutMs", 15000) / 1000
            for guest in self._srv.connections:
                if not guest.waiting or guest.transport is None:
                    continue
                if guest.head_since is not None and now - guest.head_since > head_s:
                    self.counters.add("http.slow_head")
                    guest.transport.write(SLOW)
                    guest.transport.close()
                elif guest.head_since is None and guest.opened is not None and now - guest.opened > idle_s:
                    self.counters.add("http.idle")
                    guest.transport.close()

    def port(self) -> int:
        return self._site.sockets[0].getsockname()[1]

    async def _serve(self, request: BaseRequest):
        self.under_way += 1
        guest = request.protocol
        guest.waiting, guest.head_since, guest.opened = False, None, None
        try:
            try:
                if request.headers.get("Expect", "").lower() == "100-continue" and request.version >= HttpVersion11:
                    await request.writer.write(b"HTTP/1.1 100 Continue\r\n\r\n")
                cap = self.limits.get("MaxHeaderBytes")
                if (
                    cap is not None
                    and sum(len(k) + len(v) + 4 for k, v in request.raw_headers) + len(request.raw_path) > cap
                ):
                    res = error_result(2017)
                    res.close = True
                    return await self._write(request, res)
                body = await self._body(request)
                res = await self.handler(request, body)
            except HTTPRequestEntityTooLarge:
                res = error_result(2012)
                res.close = True
            if isinstance(res, StreamResponse):
                return res
            return await self._write(request, res)
        finally:
            self.under_way -= 1
            guest.waiting = True

    async def _body(self, request) -> bytes:
        if not request.body_exists:
            return b""
        cap = int(self.limits.get("MaxBodyBytes", 32 << 20))
        if request.content_length is not None and request.content_length > cap:
            raise HTTPRequestEntityTooLarge(cap, request.content_length)
        return await request.read()

    async def _write(self, request, res: Result):
        out = Response(status=res.status, body=res.body, headers=res.head)
        if self.leaving or res.close:
            out.force_close()
            out.headers["Connection"] = "close"
        return out

    async def close(self, grace_s: float) -> None:
        """Stop accepting, let what is under way finish, then end."""
        end = asyncio.get_running_loop().time() + grace_s
        while self.under_way and asyncio.get_running_loop().time() < end:
            await asyncio.sleep(0.05)
        self._sweep.cancel()
        self._site.close()
        await self._srv.shutdown(0.2)


class _Quiet:
    """aiohttp's own complaints become counters."""

    def __init__(self, win: HttpServer):
        self.win = win

    def debug(self, *a, **k):
        pass

    info = debug

    def error(self, msg, *a, **k):
        self.win.counters.add("http.error")

    def exception(self, msg, *a, exc_info=None, **k):
        self.win.counters.add("http.fault")
        self.win.log.opt(exception=exc_info or True).error("http: {}", msg % a if a else msg)

    warning = error
