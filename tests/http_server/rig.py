"""Plays scenarios with an HTTP server and its clients."""


def play(run, it, scenario):
    """Plays a scenario with a server of its own.

    `it` has the server, a gate that its handler waits on, and the writers of its clients, as one that is dropped closes
    its connection.
    """

    async def go():
        await it.server.open("127.0.0.1:0")
        try:
            await scenario(it)
        finally:
            it.gate.set()
            for writer in it.writers:
                writer.close()
            await it.server.close(0.0)

    run(go())
