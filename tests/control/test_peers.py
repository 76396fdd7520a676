"""What a control node makes of an answer to its ping that cannot be read."""

import pytest

from archhatch.control.node import ControlNode
from archhatch.runtime import open_logs
from archhatch.runtime.settings import check_settings

SETTINGS = {
    "NodeName": "c",
    "Role": "core",
    "IpAddress": "127.0.0.1",
    "Bindings": {"ControlPlane": "127.0.0.1:1"},
    "InternalPorts": [2, 3],
    "SeedPeers": ["127.0.0.1:1"],
    "DataDir": "/tmp/unused",
}


@pytest.mark.parametrize(
    "answer",
    [5, [], {}, {"card": 5}, lambda good: {**good, "roll": 5}, lambda good: {**good, "card": {"name": "x"}}],
)
def test_an_answer_that_cannot_be_read_counts_as_none(run, answer):
    """Guards against a ping task that ends, and is begun again ever later, because of one peer."""

    async def go():
        node = ControlNode(check_settings(SETTINGS), open_logs("t", "CRITICAL"))
        node.id = "me"
        good = node.peers.ping_answer(False).to_document()

        async def call(*_args, **_kwargs):
            return answer(good) if callable(answer) else answer

        node.call = call
        assert not await node.peers._ping_once("10.0.0.9:2")
        assert node.counters.counts["ping.malformed"] == 1 and "10.0.0.9:2" not in node.peers.reports

    run(go())
