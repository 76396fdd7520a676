"""Stand-ins written for these tests: replicas, an operator, a trainer, by the published protocol, over real sockets."""

import asyncio
import base64
import itertools
import socket

import aiohttp
import orjson
from aiohttp import web

from archhatch.control.node import ControlNode
from archhatch.store.node import StoreNode
from archhatch.runtime import open_logs
from archhatch.runtime.settings import check_settings
from archhatch.data_plane.edge import Edge

LOG = open_logs("test", "CRITICAL")
NETS = itertools.count(1)


class Replica:
    """One life of a replica: plain answers, or streams of events under weights."""

    def __init__(self, service, ip, models=None, events=4, zone="z1"):
        self.service, self.ip, self.models, self.events, self.zone = service, ip, dict(models or {}), events, zone
        self.iid = f"i-{ip}-{next(NETS)}"
        self.seq = self.orders = 0
        self.fences, self.runs, self.seen, self.mood = [], [], [], {}
        self.gate = asyncio.Event()
        self.gate.set()

    async def start(self):
        self.srv = web.Server(self.serve, access_log=None)
        self.site = await asyncio.get_running_loop().create_server(self.srv, self.ip, 0)
        self.address = f"{self.ip}:{self.site.sockets[0].getsockname()[1]}"
        return self

    async def stop(self):
        self.site.close()
        await self.srv.shutdown(0.01)  # with 0 aiohttp waits for as long as idle connections are kept

    def beat(self, state="up"):
        self.seq += 1
        return {
            "Service": self.service,
            "Address": self.address,
            "Zone": self.zone,
            "Revision": "v1",
            "SlotCount": 4,
            "OperState": state,
            "WarmupLeftMs": 0,
            "Sequence": self.seq,
            "ModelList": [{"Name": k, "Revision": v, "AdapterList": []} for k, v in self.models.items()],
        }

    async def serve(self, request):
        rid = request.headers.get("X-Archhatch-Request-Id", "")
        head = {"X-Archhatch-Request-Id": rid, "X-Archhatch-Instance-Id": self.iid}
        if request.headers.get("X-Archhatch-Expect-Instance", self.iid) != self.iid:
            return web.Response(status=421, headers=head)
        body = await request.read()
        if request.raw_path == "/api/report":
            return web.json_response(
                {"Phase": "dual", "ModelList": self.beat()["ModelList"], "Utilization": False, "Sequence": self.orders}
            )
        if request.raw_path == "/api/order":
            return self.order(orjson.loads(body))
        self.seen.append((request.method, request.raw_path, body, rid, dict(request.headers)))
        mood = self.mood.pop(request.raw_path, None) or self.mood.get("*")
        if mood == "shed":
            return web.Response(status=503, headers={**head, "X-Archhatch-Not-Executed": "1"})
        if mood == "fail":
            return web.Response(status=500, headers=head)
        if mood == "other":
            head["X-Archhatch-Request-Id"] = "somebody-else"
        head["X-Archhatch-Reply-Seal"] = f"seal.{rid}"
        if not self.models or request.raw_path.startswith("/v/"):
            if mood == "cut":
                out = web.StreamResponse(headers={**head, "Content-Length": "100"})
                await out.prepare(request)
                await out.write(b"half")
                request.transport.abort()
                return out
            return web.Response(status=200, headers=head, body=b"answer to " + body)
        return await self.stream(request, head, mood)

    def order(self, doc):
        if "Owner" not in doc or "FenceToken" not in doc:
            return web.Response(status=400)
        if doc.get("ExpectedCount", self.orders) != self.orders:
            return web.Response(status=409)
        self.fences.append((doc["FenceToken"], doc["Owner"], doc["Mode"]))
        if self.models[doc["Model"]] == doc["Revision"]:
            return web.Response(status=200)
        self.orders += 1
        self.models[doc["Model"]] = doc["Revision"]
        return web.Response(status=202)

    async def stream(self, request, head, mood):
        model = request.headers["X-Archhatch-Model"]
        rev = self.models[model]
        if int(request.headers.get("X-Archhatch-Expect-Revision", rev)) != rev:
            return web.Response(status=421, headers=head)
        first = int(request.headers.get("Last-Event-Id", "0")) + 1
        self.runs.append((head["X-Archhatch-Request-Id"], first, rev))
        out = web.StreamResponse(
            headers={**head, "Content-Type": "text/event-stream", "X-Archhatch-Weight-Versions": str(rev)}
        )
        out.enable_chunked_encoding()
        await out.prepare(request)
        for n in range(first, self.events + 1):
            if n > 2:
                await self.gate.wait()
            ver = ""
            if self.models[model] != rev:
                rev = self.models[model]
                ver = f"x-archhatch-weight-versions: {rev}\n"
            await out.write(f"{ver}id: {n}\ndata: {head['X-Archhatch-Request-Id']}/{n}\n\n".encode())
            if mood == "cut" and n == first + 1:
                request.transport.abort()
                return out
        await out.write_eof()
        return out


def free_port(ip):
    with socket.socket() as s:
        s.bind((ip, 0))
        return s.getsockname()[1]


class World:
    """A whole system on loopback addresses of its own, in one event loop."""

    def __init__(self, tmp, cores=3, stores=3, tolerate=1, **settings):
        self.settings = settings  # fields of the settings that differ from the usual
        self.tmp, net = tmp, next(NETS)
        self.net = f"127.{100 + net % 100}"
        self.base = free_port(f"{self.net}.1.1")
        self.control, self.front, self.ready = (free_port(f"{self.net}.1.1") for _ in range(3))
        self.seeds = [f"{self.net}.1.{i}:{self.control}" for i in range(1, cores + 1)]
        self.cores, self.stores, self.replicas, self.edge = {}, {}, [], None
        self.ncores, self.nstores, self.tolerate = cores, stores, tolerate

    def node_settings(self, kind, ip, first=True):
        listen = {
            "edge": {"FrontHttp": f"{ip}:{self.front}", "Readiness": f"{ip}:{self.ready}"},
            "core": {"ControlPlane": f"{ip}:{self.control}"},
            "store": {},
        }[kind]
        return check_settings(
            {
                "NodeName": f"{kind}-{ip}",
                "Role": kind,
                "IpAddress": ip,
                "Zone": "z1",
                "Bindings": listen,
                "InternalPorts": [self.base, self.base + 5],
                "SeedPeers": self.seeds,
                "Bootstrap": first,
                "FaultTolerance": {"Machines": self.tolerate},
                "DataDir": f"{self.tmp}/{kind}-{ip}",
                **self.settings,
            }
        )

    async def start(self):
        for i in range(1, self.ncores + 1):
            await self.add_core(i)
        for i in range(1, self.nstores + 1):
            await self.add_store(i)
        self.edge = Edge(self.node_settings("edge", f"{self.net}.3.1"), LOG)
        await self.edge.start()
        self.http = aiohttp.ClientSession(skip_auto_headers=["Accept-Encoding"])
        return self

    async def add_core(self, i, first=True):
        self.cores[i] = ControlNode(self.node_settings("core", f"{self.net}.1.{i}", first), LOG)
        await self.cores[i].start()

    async def add_store(self, i, first=True):
        self.stores[i] = StoreNode(self.node_settings("store", f"{self.net}.2.{i}", first), LOG)
        await self.stores[i].start()

    async def kill(self, node):
        """What a killed process leaves: closed sockets and its disk."""
        await node.task_group.cancel_all()
        await node.rpc_server.close()
        node.connections.end()
        if hasattr(node, "http_server"):
            await node.http_server.close(0)
        if hasattr(node, "upstream_client"):
            await node.upstream_client.close()
        await node.wal.close()
        if hasattr(node, "ledger"):
            await node.ledger.close()

    async def end(self):
        await self.http.close()
        for node in [*self.stores.values(), *self.cores.values()]:
            await self.kill(node)
        await self.edge.task_group.cancel_all()
        self.edge.connections.end()
        await self.edge.http_server.close(0)
        await self.edge.readiness_server.close(0)
        await self.edge.upstream_client.close()
        for r in self.replicas:
            await r.stop()

    async def until(self, state_board, name, function):
        """Wait on a blackboard until fn() holds."""
        while True:
            turn = state_board.version(name)
            out = function()
            if out:
                return out
            await state_board.wait_for_change(name, turn, 0.1)

    # -- the operator, the replicas, the trainer

    async def call(self, method, path, doc=None, heads=None, core=None, ok=(200,)):
        """Call control nodes in turn until one gives a clear answer."""
        for i in itertools.cycle([core] if core else sorted(self.cores)):
            try:
                async with self.http.request(
                    method,
                    f"http://{self.net}.1.{i}:{self.control}{path}",
                    headers=heads,
                    data=orjson.dumps(doc) if doc is not None else None,
                ) as response:
                    data = await response.read()
                    if response.status < 500 or response.status in ok:
                        return response.status, orjson.loads(data)
            except aiohttp.ClientError:
                pass
            await self.edge.state_board.wait_for_change("nothing", 0, 0.05)

    async def put_plan(self, doc, match):
        return (await self.call("PUT", "/api/config", doc, {"If-Match": str(match)}))[0]

    async def add_replica(self, service, models=None, **kwargs):
        r = await Replica(service, f"{self.net}.4.{len(self.replicas) + 1}", models, **kwargs).start()
        self.replicas.append(r)
        await self.beat(r)
        return r

    async def beat(self, r, state="up"):
        return (await self.call("PUT", f"/api/instances/{r.iid}", r.beat(state)))[0]

    async def ask(self, method, path, body=b"", rid="r1", heads=None, host="h.example"):
        heads = {"Host": host, "X-Archhatch-Request-Id": rid, "X-Archhatch-Deadline-Ms": "20000", **(heads or {})}
        async with self.http.request(
            method, f"http://{self.net}.3.1:{self.front}{path}", data=body or None, headers=heads
        ) as response:
            return response.status, await response.read(), response.headers

    async def hand_in(self, job_id, doc):
        while True:
            status, body, _ = await self.ask("POST", "/roll/x", orjson.dumps(doc), rid=job_id)
            if status not in (503, 504):
                return status

    async def read_all(self, job_id):
        rows, at = [], 0
        while True:
            status, body, _ = await self.ask(
                "GET", f"/api/lots/{job_id}?StartAfter={at}", heads={"X-Archhatch-Hold-Ms": "1000"}
            )
            if status == 503:
                continue
            assert status == 200, (status, body)
            doc = orjson.loads(body)
            assert doc["NextToken"] == at + len(doc["ResultList"])
            rows, at = rows + doc["ResultList"], doc["NextToken"]
            if at == doc["Total"]:
                return rows


def plan(rev=1, **kwargs):
    return {
        "Revision": rev,
        "RouteTable": [
            {
                "Name": "q",
                "HostName": "h.example",
                "PathPrefix": "/q/",
                "RouteClass": "idempotent",
                "TimeoutMs": 20000,
                "TargetLatencyMs": 2000,
                "Service": "quote",
                "MaxAttempts": 3,
            },
            {
                "Name": "n",
                "HostName": "h.example",
                "PathPrefix": "/n/",
                "RouteClass": "non_idempotent",
                "TimeoutMs": 20000,
                "TargetLatencyMs": 2000,
                "Service": "quote",
                "MaxAttempts": 3,
            },
            {
                "Name": "s",
                "HostName": "h.example",
                "PathPrefix": "/s/",
                "RouteClass": "streaming",
                "TimeoutMs": 20000,
                "TargetLatencyMs": 2000,
                "Service": "llm",
                "MaxAttempts": 3,
                "Resumable": True,
                **kwargs.get("stream", {}),
            },
            {
                "Name": "v",
                "HostName": "h.example",
                "PathPrefix": "/v/",
                "RouteClass": "idempotent",
                "TimeoutMs": 20000,
                "TargetLatencyMs": 2000,
                "Service": "llm",
                "MaxAttempts": 3,
            },
            {
                "Name": "l",
                "HostName": "h.example",
                "PathPrefix": "/roll/",
                "RouteClass": "rollout",
                "TimeoutMs": 20000,
                "TargetLatencyMs": 2000,
                "ResultDueMs": 20000,
                "MaxQueueS": 40,
                "Service": "llm",
                "MaxAttempts": 3,
                **kwargs.get("lot", {}),
            },
        ],
        "ServiceTable": [
            {"Name": "quote", "HealthPath": "/health", "MaxConnections": 50},
            {
                "Name": "llm",
                "HealthPath": "/health",
                "MaxConnections": 50,
                "Engine": {"SlotCount": 4, "ModelList": [{"Name": "m"}]},
            },
        ],
        "Limits": {"MaxHeaderBytes": 8000, "MaxBodyBytes": 200000, "HeaderTimeoutMs": 3000, "IdleTimeoutMs": 15000},
    }


def batch_job(step=0, least=1, groups=2, size=2, name="a"):
    return {
        "TrainStep": step,
        "Model": "m",
        "MinRevision": least,
        "DesiredCount": groups,
        "Entries": [
            {
                "InstanceId": f"{name}{g}-{n}",
                "Path": f"/roll/{g}/{n}",
                "GroupId": f"g{g}",
                "TokenCount": 20,
                "HeaderMap": {"X-Archhatch-Model": "m", "X-Archhatch-Token-Count": "10,10"},
                "Payload": base64.b64encode(f"body {g} {n}".encode()).decode(),
                "ScorerUrl": {
                    "InstanceId": f"c-{name}{g}-{n}",
                    "HostName": "h.example",
                    "Path": f"/q/score/{g}/{n}",
                    "Payload": base64.b64encode(b"score me").decode(),
                },
            }
            for g in range(groups)
            for n in range(size)
        ],
    }
