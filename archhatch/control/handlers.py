"""What a control node answers to calls of other nodes."""

from __future__ import annotations

from typing import TYPE_CHECKING, Any, Protocol

from ..membership import shard_of
from ..rpc import CallRefusedError, Handlers
from .messages import (
    AcceptRequest,
    CommitNotice,
    LiveRequestsReport,
    Ping,
    RegisterCommand,
    RegisterCommandResult,
    RoutedCommand,
    VoteRequest,
)
from .registers import SERVICE_SHARDS
from .result_codes import DONE, NO_MAJORITY

if TYPE_CHECKING:
    from ..consensus import Acceptor
    from ..membership import LiveRequests, PeerSet
    from ..runtime import Clock, TaskGroup
    from .agreement import Registers
    from .feed import ConfigFeed
    from .peers import Peers

SERVICE_PREFIX = "of:"  # before a service's name in place of a register's: the register that holds the service


class HandlersHost(Protocol):
    """What the handlers use of their control node."""

    id: str
    clock: Clock
    task_group: TaskGroup
    registers: Registers
    peers: Peers
    feed: ConfigFeed
    cores: PeerSet
    live: LiveRequests

    def check_serving(self) -> bool:
        """Returns whether the node may answer callers."""

    def condition(self) -> dict:
        """Returns what the doctor asks for."""

    async def call(self, address: str, verb: str, document: dict) -> Any:  # noqa: ANN401 - any JSON
        """Calls another node; None if it does not answer."""


def register_handlers(node: HandlersHost) -> Handlers:
    """Returns all handlers of a control node, by verb."""
    handlers = Handlers()
    for group in (_VoteHandlers(node), _CommandHandlers(node), _PeerHandlers(node)):
        group.register(handlers)
    return handlers


class _VoteHandlers:
    """The acceptors' side of the registers."""

    def __init__(self, node: HandlersHost) -> None:
        self.node = node

    def register(self, handlers: Handlers) -> None:
        handlers.on("part.prepare")(self._prepare)
        handlers.on("part.accept")(self._accept)
        handlers.on("part.confirm")(self._confirm)
        handlers.on("part.commit")(self._commit)
        handlers.on("part.hear")(self._get_state)

    def _acceptor(self, request: VoteRequest | AcceptRequest) -> Acceptor:
        return self.node.registers.acceptors[request.shard]

    async def _prepare(self, document: dict, _body: bytes) -> dict:
        request = VoteRequest.from_document(document)
        return {"me": self.node.id, **await self._acceptor(request).prepare(request.proposal_number)}

    async def _accept(self, document: dict, _body: bytes) -> dict:
        request = AcceptRequest.from_document(document)
        return {"me": self.node.id, **await self._acceptor(request).accept(request.proposal_number, request.state)}

    async def _confirm(self, document: dict, _body: bytes) -> dict:
        request = VoteRequest.from_document(document)
        return {"me": self.node.id, **await self._acceptor(request).confirm(request.proposal_number)}

    async def _commit(self, document: dict, _body: bytes) -> None:
        notice = CommitNotice.from_document(document)
        node = self.node
        if not node.registers.learn_accepted(notice.shard, notice.version, notice.proposal_number):
            node.task_group.spawn("fetch-state", node.peers.fetch_state, notice.address, notice.shard, "")

    async def _get_state(self, document: dict, _body: bytes) -> dict | None:
        return self.node.registers.known.get(document["part"])


class _CommandHandlers:
    """Commands on the registers."""

    def __init__(self, node: HandlersHost) -> None:
        self.node = node

    def register(self, handlers: Handlers) -> None:
        handlers.on("part.do")(self._run_locally)
        handlers.on("do")(self._route)

    async def _run_locally(self, document: dict, _body: bytes) -> dict:
        command = RegisterCommand.from_document(document)
        code, answer = await self.node.registers.run_locally(
            command.shard, command.name, command.args, command.within_s
        )
        return RegisterCommandResult(code, answer).to_document()

    async def _route(self, document: dict, _body: bytes) -> Any:  # noqa: ANN401 - any JSON
        command = RoutedCommand.from_document(document)
        if not self.node.check_serving():
            raise CallRefusedError(NO_MAJORITY)
        shard = command.shard
        if shard.startswith(SERVICE_PREFIX):
            shard = shard_of(shard.removeprefix(SERVICE_PREFIX), SERVICE_SHARDS)
        code, answer = await self.node.registers.run(shard, command.name, command.args)
        if code != DONE:
            raise CallRefusedError(code, answer)
        return answer


class _PeerHandlers:
    """Pings of other control nodes, reports on replicas and requests, the feed and the doctor's question."""

    def __init__(self, node: HandlersHost) -> None:
        self.node = node

    def register(self, handlers: Handlers) -> None:
        handlers.on("core.ping")(self._answer_ping)
        handlers.on("roll.push")(self._merge_replicas)
        handlers.on("fitness")(self._report_condition)
        handlers.on("live")(self._merge_live_requests)
        handlers.on("news")(self._answer_feed)

    async def _answer_ping(self, document: dict, _body: bytes) -> dict:
        is_missing_entries = self.node.peers.merge_ping(Ping.from_document(document))
        return self.node.peers.ping_answer(is_missing_entries).to_document()

    async def _merge_replicas(self, document: dict, _body: bytes) -> dict:
        self.node.peers.merge_replicas(document["roll"])
        return {"me": self.node.id}

    async def _report_condition(self, _document: dict, _body: bytes) -> dict:
        return self.node.condition()

    async def _merge_live_requests(self, document: dict, _body: bytes) -> None:
        report = LiveRequestsReport.from_document(document)
        node = self.node
        if not report.should_spread:
            node.peers.merge_live_totals(report.node_id, report.live_requests)
            return
        node.peers.merge_live_requests(report.node_id, report.live_requests)
        totals = LiveRequestsReport(node.id, node.live.edge_totals(node.clock.now()), should_spread=False).to_document()
        for card in list(node.cores.cards.values()):
            node.task_group.spawn("live", node.call, card["addr"], "live", totals)

    async def _answer_feed(self, document: Any, _body: bytes) -> bytes:  # noqa: ANN401 - a FeedQuestion, see there
        return await self.node.feed.answer(document)
