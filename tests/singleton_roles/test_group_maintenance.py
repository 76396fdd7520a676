"""When the owner of a role register settles it: what it knows to be chosen must not stay behind its own vote."""

from types import SimpleNamespace

from tests.support.fakes import HandClock
from tests.support.register_group import RegisterGroup

from archhatch.runtime import Counters
from archhatch.singleton_roles.group_maintenance import GroupMaintenance

NAMESPACE = "accounting"


class RegistersOf:
    """The registers of one node of a group, which it owns."""

    def __init__(self, group, node_id):
        self._group, self._node_id = group, node_id
        self.proposers = {NAMESPACE: group.nodes[node_id]["proposer"]}

    @property
    def known(self):
        known = self._group.nodes[self._node_id]["known"]
        return {} if known is None else {NAMESPACE: known}

    def base(self, _namespace):
        return self._group.base(self._node_id)

    def owner(self, _namespace):
        return self._node_id

    def published_group(self, _namespace):
        return None

    def learn(self, _namespace, state):
        self._group.publish(self._node_id, state)


def store(node_id):
    return SimpleNamespace(
        id=node_id,
        clock=HandClock(),
        counters=Counters(),
        heartbeat_interval_s=1.0,
        settings=SimpleNamespace(tolerated_machines=1, seconds=lambda *_args: 1.0),
    )


def test_an_owner_whose_vote_is_newer_than_what_it_knows_settles_again(run):
    """Guards against a role that nobody takes over: the successor voted for the last grant, but never learned of it."""

    async def go():
        group = RegisterGroup("abc")
        await group.do("a", "put", v="a grant of c")
        maintenance = GroupMaintenance(store("a"), RegistersOf(group, "a"))
        await maintenance.maintain(NAMESPACE)
        await group.do("b", "put", v="a grant of b")
        group.cut = {"b"}
        assert group.nodes["a"]["known"]["val"] == {"v": "a grant of c"}
        assert group.nodes["a"]["acceptor"].state["val"] == {"v": "a grant of b"}
        await maintenance.maintain(NAMESPACE)
        assert group.nodes["a"]["known"]["val"] == {"v": "a grant of b"}

    run(go())
