"""Commands of `archhatch`: one program for each role, and the operator tools."""

from __future__ import annotations

import asyncio
import gc
import json
import resource
import signal
import socket
import sys

from absl import flags

from ..runtime.settings import SettingsError, read_settings
from ..runtime.logs import open_logs

FLAGS = flags.FLAGS
flags.DEFINE_string("settings", None, "settings file; else $ARCHHATCH_CONFIG, else its usual place")
flags.DEFINE_enum("log", "INFO", ["DEBUG", "INFO", "WARNING", "ERROR"], "least level of a log line")
flags.DEFINE_float("counters_s", 10.0, "seconds between lines of counters; 0 for none", lower_bound=0)

flags.DEFINE_bool("json", False, "doctor: print one JSON document")

flags.DEFINE_integer("revision", 1, "import: the Revision of the configuration", lower_bound=1)

flags.DEFINE_string("route", None, "policy explain: a route's name")
flags.DEFINE_string("host", None, "policy explain: the host of a request")
flags.DEFINE_string("path", None, "policy explain: the path of a request")
flags.DEFINE_list("regions_out", None, "policy explain: regions that count as out")
flags.DEFINE_string("plan", None, "policy explain: a configuration file; else the one in force")
flags.DEFINE_integer("match", None, "policy put: the version that it stands on; else the newest", lower_bound=0)
flags.DEFINE_string("reason", None, "policy out, policy in, evacuate cancel, evacuate return: why")
flags.DEFINE_bool("dry_run", False, "evacuate plan: only say what would be taken")

flags.DEFINE_string("out", None, "capacity measure: the file to write; else standard output")
flags.DEFINE_string("slopes", None, "capacity table, check, write: the file of measured slopes; else the recorded one")
flags.DEFINE_integer("nodes", 3, "simulate: control nodes, 3 or 5", lower_bound=1)
flags.DEFINE_string("size", None, "capacity: the file of the size to design for; else the one beside the sources")

flags.DEFINE_string("seeds", "0:100", "simulate: seeds FROM:TO, or one")
flags.DEFINE_enum("model", "register", ["register", "control"], "simulate: one register, or whole control nodes")
flags.DEFINE_float("length_s", 24.0, "simulate: virtual seconds with faults", lower_bound=1)
flags.DEFINE_integer("jobs", 1, "simulate: processes", lower_bound=1)
flags.DEFINE_bool("steps", False, "simulate: tell of each seed")
flags.DEFINE_integer("trace", None, "simulate: tell one seed whole", lower_bound=0)
flags.DEFINE_bool("repair", False, "simulate: instead, measure how long a group takes to bear the allowed losses again")
flags.DEFINE_string("plant", None, "simulate: a fault to plant (docs/simulation.md)")

COMMANDS: dict = {}
USE = {
    "data-plane": "take clients' requests (role of edge machines)",
    "control-plane": "agree on the configuration and on membership (role of core machines)",
    "store": "keep batch jobs and run rollouts (role of storage machines)",
    "import": "turn a configuration file of nginx into an operator configuration, on standard output",
    "policy": "check, put, get or explain the placement policy, and take regions out or in",
    "evacuate": "plan, start, watch, cancel or return the move of a tenant to another region",
    "duties": "list or show what one node at a time must do, and allow a failed duty to be tried again",
    "doctor": "look for common faults of a settings file and of the node that it describes",
    "capacity": "capacity measure | table | check | write: what each role costs at the size to design for",
    "simulate": "play seeds of the control side's code under faults, in virtual time, and judge what clients saw",
}


def command(name: str):
    """Registers a function as the command of a name."""

    def put(function):
        COMMANDS[name] = function
        return function

    return put


def usage() -> str:
    """What --help prints."""
    rows = "\n".join(f"  {n:<13} {w}" for n, w in USE.items())
    return (
        f"archhatch COMMAND [--flag=value ...]\n\n{rows}\n\nFlags of all commands:\n{FLAGS.main_module_help()}"
        f"\n{FLAGS.module_help('archhatch.cli.commands')}"
    )


def memory_mb() -> float:
    """What this process has in memory now; 0 where the system does not tell."""
    try:
        with open("/proc/self/statm", "rb") as f:
            return int(f.read().split()[1]) * resource.getpagesize() / 1e6
    except (OSError, ValueError, IndexError):
        return 0.0


async def _live(node, settings, log) -> None:
    loop = asyncio.get_running_loop()
    stop, hup = asyncio.Event(), asyncio.Event()
    loop.add_signal_handler(signal.SIGTERM, stop.set)
    loop.add_signal_handler(signal.SIGINT, stop.set)
    loop.add_signal_handler(signal.SIGHUP, hup.set)
    await node.start()
    gc.collect()
    gc.freeze()
    wait = asyncio.ensure_future(stop.wait())
    while not stop.is_set():
        await asyncio.wait([wait], timeout=FLAGS.counters_s or None)
        log.info("counters {} memory_mb={:.0f}", node.counters.summary(), memory_mb())
        if hup.is_set():
            hup.clear()
            try:
                read_settings(FLAGS.settings)
                log.info("settings read again; what binds and where data lies changes at the next start")
            except SettingsError as e:
                log.error("code 2001 {}; the old settings stay", e)
    await node.leave()


def _early(settings, name: str):
    """A socket that listens before the rest of the program is loaded: who calls meanwhile waits, and is not refused."""
    host, port = settings.bindings[name].rsplit(":", 1)
    sock = socket.socket()
    sock.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
    sock.bind((host, int(port)))
    sock.listen(1024)
    sock.setblocking(False)
    return sock


def _boot():
    try:
        return read_settings(FLAGS.settings)
    except SettingsError as e:
        print(f"archhatch: {e}", file=sys.stderr)
        return None


def _run(settings, make) -> int:
    log = open_logs(settings.node_name, FLAGS.log)
    try:
        asyncio.run(_live(make(settings, log), settings, log))
    except OSError as e:
        print(f"archhatch: {e}", file=sys.stderr)
        return 1
    return 0


@command("data-plane")
def _data_plane(args) -> int:
    settings = _boot()
    if settings is None:
        return 2
    if "FrontHttp" not in settings.bindings or "Readiness" not in settings.bindings:
        print("archhatch: settings: Bindings: needs FrontHttp and Readiness", file=sys.stderr)
        return 2
    try:
        sock = _early(settings, "FrontHttp")
    except OSError as e:
        print(f"archhatch: settings: Bindings.FrontHttp: {e}", file=sys.stderr)
        return 1
    from ..data_plane.edge import Edge

    return _run(settings, lambda b, log: Edge(b, log, sock=sock))


@command("control-plane")
def _control_plane(args) -> int:
    settings = _boot()
    if settings is None:
        return 2
    if "ControlPlane" not in settings.bindings:
        print("archhatch: settings: Bindings: needs ControlPlane", file=sys.stderr)
        return 2
    from ..control.node import ControlNode

    return _run(settings, ControlNode)


@command("store")
def _store(args) -> int:
    settings = _boot()
    if settings is None:
        return 2
    from ..store.node import StoreNode

    return _run(settings, StoreNode)


@command("doctor")
def _doctor(args) -> int:
    from ..diagnostics import Doctor, report

    if args:
        print("archhatch: doctor takes no arguments, only --settings and --json", file=sys.stderr)
        return 2
    found = asyncio.run(Doctor(FLAGS.settings).run())
    print(report(found, FLAGS.json))
    return 1 if found else 0


@command("policy")
def _policy(args) -> int:
    from ..region_policy.client import PolicyClient

    return PolicyClient(FLAGS).run(args)


@command("evacuate")
def _evacuate(args) -> int:
    from ..evacuation.client import EvacuationClient

    return EvacuationClient(FLAGS).run(args)


@command("duties")
def _duties(args) -> int:
    from ..singleton_roles.client import SingletonRoleClient

    return SingletonRoleClient(FLAGS).run(args)


@command("import")
def _import(args) -> int:
    from ..diagnostics.importer import Importer, ConfigImportError

    if len(args) != 1:
        print("archhatch: import takes one file of nginx", file=sys.stderr)
        return 2
    try:
        plan, notes = Importer(args[0]).read(FLAGS.revision)
    except ConfigImportError as e:
        print(f"archhatch: {e}", file=sys.stderr)
        return 1
    for note in notes:
        print(note, file=sys.stderr)
    print(json.dumps(plan, indent=1))
    return 0


@command("capacity")
def _capacity(args) -> int:
    from ..capacity.command import Capacity

    return Capacity(out=FLAGS.out, slopes=FLAGS.slopes, size=FLAGS.size).run(args)


@command("simulate")
def _simulate(args) -> int:
    from ..simulation.command import run

    return run(FLAGS, args)


def main(argv: list) -> None:
    """Parse the command line and run a command; ends the process with its status."""
    if "--help" in argv or "-h" in argv or len(argv) < 2:
        FLAGS.mark_as_parsed()
        print(usage())
        sys.exit(0 if len(argv) > 1 else 2)
    try:
        rest = FLAGS(argv)
    except flags.Error as e:
        print(f"archhatch: {e}", file=sys.stderr)
        sys.exit(2)
    function = COMMANDS.get(rest[1] if len(rest) > 1 else "")
    if function is None:
        print(f"archhatch: no such command: {' '.join(rest[1:2])}\n\n{usage()}", file=sys.stderr)
        sys.exit(2)
    sys.exit(function(rest[2:]))
