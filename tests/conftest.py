import asyncio
import os
import sys

ROOT = os.path.dirname(os.path.dirname(os.path.abspath(__file__)))
for path in (os.path.join(ROOT, "target", "deps"), ROOT):
    if path not in sys.path:
        sys.path.insert(0, path)

import pytest  # noqa: E402
from tests.support.fakes import HandClock  # noqa: E402
from tests.support.wire_vocabulary import Vocabulary, watch  # noqa: E402

WATCH = watch(Vocabulary.load())


@pytest.fixture
def clock():
    return HandClock()


@pytest.fixture
def run():
    def go(coro, timeout_s: float = 45.0):
        return asyncio.run(asyncio.wait_for(coro, timeout_s))

    return go


@pytest.fixture(autouse=True)
def wire_watch():
    """Fails a test in which a document went between nodes that other versions may not understand."""
    WATCH.take()
    yield WATCH
    found = WATCH.take()
    if found:
        pytest.fail("not in tests/data/wire/calls.json:\n" + "\n".join(found))
