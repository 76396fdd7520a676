"""The programs: the data plane, the control plane and the store. Each runs until a signal ends it."""

from __future__ import annotations

import asyncio
import gc
import resource
import signal
import socket
from collections.abc import Callable
from typing import TYPE_CHECKING, Protocol

from absl import flags

from ..runtime import Counters, Settings, SettingsError, open_logs, read_settings
from ..runtime.allocator import return_freed_memory
from ..runtime.build_info import build_info
from ..early_signals import ignore_signals, take_reload_signal
from .common_flags import SETTINGS, load_settings, print_error
from .loop_errors import LoopErrorHandler
from .registry import EXIT_FAILURE, EXIT_OK, EXIT_USAGE, command

if TYPE_CHECKING:
    from loguru import Logger

LOG_LEVEL = flags.DEFINE_enum("log", "INFO", ["DEBUG", "INFO", "WARNING", "ERROR"], "least level of a log line")
COUNTERS_S = flags.DEFINE_float("counters_s", 10.0, "seconds between lines of counters; 0 for none", lower_bound=0)

LISTEN_BACKLOG = 1024  # clients that may wait while the program loads
BYTES_PER_MB = 1e6


class Program(Protocol):
    """A node of any role.

    Attributes:
        counters: Its counters.
    """

    counters: Counters

    async def start(self) -> None:
        """Starts the node."""

    async def leave(self) -> None:
        """Hands over what the node has, and stops."""


def resident_memory_mb() -> float:
    """Returns the resident memory of this process in MB; 0 where the system does not tell.

    >>> resident_memory_mb() >= 0
    True
    """
    try:
        with open("/proc/self/statm", "rb") as file:
            pages = int(file.read().split()[1])
    except (OSError, ValueError, IndexError):
        return 0.0
    return pages * resource.getpagesize() / BYTES_PER_MB


async def _run_until_signal(program: Program, log: Logger) -> None:
    """Runs a program until SIGTERM or SIGINT.

    Logs its counters from time to time, and checks the settings file after SIGHUP.
    """
    loop = asyncio.get_running_loop()
    loop.set_exception_handler(LoopErrorHandler(program.counters, log))
    stop_requested, reload_requested = asyncio.Event(), asyncio.Event()
    _set_on_signal(loop, signal.SIGTERM, stop_requested)
    _set_on_signal(loop, signal.SIGINT, stop_requested)
    _set_on_signal(loop, signal.SIGHUP, reload_requested)
    if take_reload_signal():
        reload_requested.set()
    await program.start()
    # What was loaded stays until the end: without it, each run of the collector is shorter.
    gc.collect()
    gc.freeze()
    stop_waiter = asyncio.ensure_future(stop_requested.wait())
    while not stop_requested.is_set():
        await asyncio.wait([stop_waiter], timeout=COUNTERS_S.value or None)
        log.info("counters {} memory_mb={:.0f}", program.counters.summary(), resident_memory_mb())
        if reload_requested.is_set():
            reload_requested.clear()
            _check_changed_settings(log)
    await program.leave()


def _set_on_signal(loop: asyncio.AbstractEventLoop, number: signal.Signals, event: asyncio.Event) -> None:
    """Sets an event when a signal arrives.

    A handler of the loop would be taken away as the loop closes, and the signal have its default effect from then on.
    """

    def notify(_number: int, _frame: object) -> None:
        if not loop.is_closed():
            loop.call_soon_threadsafe(event.set)

    signal.signal(number, notify)


def _check_changed_settings(log: Logger) -> None:
    """Logs whether the settings file is usable; addresses and folders change only at the next start."""
    try:
        read_settings(SETTINGS.value)
    except SettingsError as error:
        log.error("code 2001 {}; the old settings stay", error)  # noqa: TRY400 - the operator's fault, no traceback
    else:
        log.info("settings read again; what binds and where data lies changes at the next start")


def _listen_early(settings: Settings, binding: str) -> socket.socket:
    """Opens a listener before the rest of the program is loaded, so that early clients wait and are not refused."""
    host, port = settings.bindings[binding].rsplit(":", 1)
    listener = socket.socket()
    listener.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
    listener.bind((host, int(port)))
    listener.listen(LISTEN_BACKLOG)
    listener.setblocking(False)
    return listener


def _run(settings: Settings, make_program: Callable[[Settings, Logger], Program]) -> int:
    log = open_logs(settings.node_name, LOG_LEVEL.value, settings.log_format)
    log.info("starts: {}", build_info())
    return_freed_memory()
    try:
        asyncio.run(_run_until_signal(make_program(settings, log), log))
    except OSError as error:
        print_error(error)
        return EXIT_FAILURE
    ignore_signals()
    return EXIT_OK


@command("data-plane", "take clients' requests (role of edge machines)")
def _data_plane(_args: list[str]) -> int:
    settings = load_settings()
    if settings is None:
        return EXIT_USAGE
    if "FrontHttp" not in settings.bindings or "Readiness" not in settings.bindings:
        print_error("settings: Bindings: needs FrontHttp and Readiness")
        return EXIT_USAGE
    try:
        listener = _listen_early(settings, "FrontHttp")
    except OSError as error:
        print_error(f"settings: Bindings.FrontHttp: {error}")
        return EXIT_FAILURE
    from ..data_plane.edge import Edge  # loaded only now: it takes a while, and clients can wait from here on

    return _run(settings, lambda settings, log: Edge(settings, log, sock=listener))


@command("control-plane", "agree on the configuration and on membership (role of core machines)")
def _control_plane(_args: list[str]) -> int:
    settings = load_settings()
    if settings is None:
        return EXIT_USAGE
    if "ControlPlane" not in settings.bindings:
        print_error("settings: Bindings: needs ControlPlane")
        return EXIT_USAGE
    from ..control.node import ControlNode

    return _run(settings, ControlNode)


@command("store", "keep batch jobs and run rollouts (role of storage machines)")
def _store(_args: list[str]) -> int:
    settings = load_settings()
    if settings is None:
        return EXIT_USAGE
    from ..store.node import StoreNode

    return _run(settings, StoreNode)
