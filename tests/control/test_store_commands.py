"""The stores' membership under fences: who may end a leaving store's membership, and when a retirement is complete."""

import pytest
from tests.control.test_registers import do, stores

from archhatch.control.registers import commands


def leaving(begun, retire=False):
    """Four stores, of which s1 leaves; the runs' begun terms."""
    value = stores(4)
    value["runs"] = dict(begun)
    value["stores"]["s1"].update(state="leaving", retire=retire)
    return value


CLEARS = [  # why, begun terms, what is said in turn (run, term, counted), codes, whether the store is dropped
    ("the current holder", {"m": 3}, [("m", 3, ["s0", "s2"])], [1000], True),
    ("a dead term", {"m": 3}, [("m", 2, [])], [2018], False),
    ("a dead term, then the current one", {"m": 3}, [("m", 2, []), ("m", 3, [])], [2018, 1000], True),
    ("one of two runs", {"m": 1, "k": 4}, [("m", 1, [])], [1000], False),
    ("both runs", {"m": 1, "k": 4}, [("m", 1, []), ("k", 4, [])], [1000, 1000], True),
    ("it counted on one that leaves", {"m": 3}, [("m", 3, ["s0", "s1"])], [2018], False),
    ("it counted on one that is no member", {"m": 3}, [("m", 3, ["s0", "gone"])], [2018], False),
    ("said twice", {"m": 3, "k": 1}, [("m", 3, []), ("m", 3, [])], [1000, 1000], False),
]


@pytest.mark.parametrize("why, begun, words, codes, dropped", CLEARS, ids=[c[0] for c in CLEARS])
def test_who_may_clear_a_leaving_store(why, begun, words, codes, dropped):
    value = leaving(begun, retire=True)
    got = [do(value, "store.clear", id="s1", run=run, term=term, counted=counted)[0] for run, term, counted in words]
    assert got == codes and ("s1" not in value["stores"]) is dropped
    state = commands.run(value, "retire.get", {"node": "n1"})[1]["OperState"]
    assert state == ("complete" if dropped else "active")


@pytest.mark.parametrize("cmd, args", [("run.begin", {"run": "m", "term": 2}), ("run.open", {"run": "k"})])
def test_a_run_begun_or_opened_later_takes_earlier_clears_back(cmd, args):
    value = leaving({"m": 1, "late": 1})
    assert do(value, "store.clear", id="s1", run="m", term=1)[0] == 1000
    assert do(value, cmd, **args) == (1000, True) and do(value, cmd, **args) == (1000, False)
    assert do(value, "store.clear", id="s1", run="late", term=1)[0] == 1000
    assert "s1" in value["stores"]
    assert do(value, "store.clear", id="s1", run=args["run"], term=args.get("term", 1))[0] == 1000
    assert "s1" not in value["stores"]


@pytest.mark.parametrize("term, code, after", [(1, 2018, 2), (2, 1000, 2), (7, 1000, 7)])
def test_terms_begin_upwards(term, code, after):
    value = leaving({"m": 2})
    assert do(value, "run.begin", run="m", term=term)[0] == code and value["runs"]["m"] == after


def test_the_stores_of_a_gather_are_told_as_the_term_begins():
    value = leaving({"m": 1})
    code, doc, _ = commands.run(value, "run.begin", {"run": "m", "term": 2})
    assert code == 1000 and set(doc["stores"]) == {"s0", "s1", "s2", "s3"}
    assert do(value, "store.clear", id="s1", run="m", term=1)[0] == 2018  # the gather counts on it
