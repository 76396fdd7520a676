"""A listener for HTTP/1.1: heads and bodies as they came, one writer for all answers."""
from __future__ import annotations

import asyncio

from aiohttp import web
from aiohttp.http import HttpVersion11

from ..frame import Result, fault_result


class Window:
    """Serves handler(request, body) on an address; it gives a Result, or a stream that it wrote itself.

    >>> # win = Window(handler, log, ctr); await win.open("10.0.0.1:8144"); await win.close(grace_s=6)
    """

    def __init__(self, handler, log, ctr, limits=None):
        self.handler, self.log, self.ctr = handler, log, ctr
        self.limits = {} if limits is None else limits
        self.leaving = False
        self.under_way = 0
        self._srv = self._site = None

    def _factory(self, message, payload, protocol, writer, task):
        cap = int(self.limits.get("MaxBodyBytes", 32 << 20))
        return web.BaseRequest(message, payload, protocol, writer, task, asyncio.get_running_loop(),
                               client_max_size=cap)

    async def open(self, addr: str, sock=None) -> None:
        """Serve on an address, or on a socket that listens already."""
        host, port = addr.rsplit(":", 1)
        where = {"sock": sock} if sock is not None else {"host": host, "port": int(port), "reuse_address": True}
        self._srv = web.Server(
            self._serve, request_factory=self._factory, auto_decompress=False, access_log=None, logger=_Quiet(self),
            keepalive_timeout=self.limits.get("IdleTimeoutMs", 15000) / 1000, tcp_keepalive=False,
            max_line_size=int(self.limits.get("MaxHeaderBytes", 16384)),
            max_field_size=int(self.limits.get("MaxHeaderBytes", 16384)), lingering_time=1.0)
        self._site = await asyncio.get_running_loop().create_server(self._srv, backlog=1024, **where)

    def port(self) -> int:
        return self._site.sockets[0].getsockname()[1]

    async def _serve(self, req: web.BaseRequest):
        self.under_way += 1
        try:
            try:
                if req.headers.get("Expect", "").lower() == "100-continue" and req.version >= HttpVersion11:
                    await req.writer.write(b"HTTP/1.1 100 Continue\r\n\r\n")
                cap = self.limits.get("MaxHeaderBytes")
                if cap is not None and sum(len(k) + len(v) + 4 for k, v in req.raw_headers) + len(req.raw_path) > cap:
                    res = fault_result(2017)
                    res.close = True
                    return await self._write(req, res)
                body = await self._body(req)
                res = await self.handler(req, body)
            except web.HTTPRequestEntityTooLarge:
                res = fault_result(2012)
                res.close = True
            if isinstance(res, web.StreamResponse):
                return res
            return await self._write(req, res)
        finally:
            self.under_way -= 1

    async def _body(self, req) -> bytes:
        if not req.body_exists:
            return b""
        cap = int(self.limits.get("MaxBodyBytes", 32 << 20))
        if req.content_length is not None and req.content_length > cap:
            raise web.HTTPRequestEntityTooLarge(cap, req.content_length)
        return await req.read()

    async def _write(self, req, res: Result):
        out = web.Response(status=res.status, body=res.body, headers=res.head)
        if self.leaving or res.close:
            out.force_close()
            out.headers["Connection"] = "close"
        return out

    async def close(self, grace_s: float) -> None:
        """Stop accepting, let what is under way finish, then end."""
        end = asyncio.get_running_loop().time() + grace_s
        while self.under_way and asyncio.get_running_loop().time() < end:
            await asyncio.sleep(0.05)
        self._site.close()
        await self._srv.shutdown(0.2)


class _Quiet:
    """aiohttp's own complaints become counters."""

    def __init__(self, win: Window):
        self.win = win

    def debug(self, *a, **k):
        pass

    info = debug

    def error(self, msg, *a, **k):
        self.win.ctr.add("http.error")

    def exception(self, msg, *a, exc_info=None, **k):
        self.win.ctr.add("http.fault")
        self.win.log.opt(exception=exc_info or True).error("http: {}", msg % a if a else msg)

    warning = error
