"""Which connections end when there are too many."""

import asyncio
from unittest import mock

from archhatch.http_server.client_memory import ConnectionBounds
from archhatch.http_server.connection import ConnectionTable
from archhatch.runtime import Counters

BOUND = 50


class Transport(asyncio.Transport):
    """A socket that takes all and says nothing."""

    max_size = 0

    def __init__(self):
        super().__init__()
        self.is_aborted = False

    def set_write_buffer_limits(self, high=None, low=None):
        pass

    def abort(self):
        self.is_aborted = True

    close = abort

    def is_closing(self):
        return self.is_aborted

    def pause_reading(self):
        pass


def open_connections(table, count):
    connections = [table() for _ in range(count)]
    for connection in connections:
        connection.connection_made(Transport())
    return connections


def make_table(bound=BOUND):
    return ConnectionTable(ConnectionBounds(bound, 1 << 30), Counters(), mock.Mock(), loop=asyncio.get_running_loop())


async def close(table):
    for connection in list(table.connections):
        connection.connection_lost(None)
    await asyncio.sleep(0)


# A crowd at the bound of connections: the one chosen had closed, and had let go of its table; an AttributeError ended
# the reading of another connection, and was logged with its traceback.
def test_a_connection_that_has_closed_is_never_chosen(run):
    async def go():
        table = make_table(bound=2)
        first, second = open_connections(table, 2)
        await asyncio.sleep(0)
        first.connection_lost(None)  # its task has not ended yet, so it is in the table
        assert first in table.connections
        (third,) = open_connections(table, 1)
        assert second.transport.is_aborted and not third.transport.is_aborted
        first.give_way()
        assert table.giving_way_count == 1
        await close(table)
        assert table.giving_way_count == 0

    run(go())


def test_the_longest_resting_ones_go_in_their_order(run):
    async def go():
        table = make_table()
        connections = open_connections(table, BOUND)
        for number, connection in enumerate(connections):
            connection.rested_at -= BOUND - number
        newcomers = open_connections(table, 3)
        aborted = [one.transport.is_aborted for one in connections]
        assert aborted == [True] * 3 + [False] * (BOUND - 3)
        assert not any(newcomer.transport.is_aborted for newcomer in newcomers)
        await close(table)

    run(go())


def test_of_newcomers_beside_requests_that_arrive_the_newcomers_go(run):
    async def go():
        table = make_table(bound=3)
        for connection in open_connections(table, 3):
            connection.header_started_at = 0.0
        newcomers = open_connections(table, 2)
        assert all(newcomer.transport.is_aborted for newcomer in newcomers)
        await close(table)

    run(go())
