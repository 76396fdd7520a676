"""The command `capacity`: what each role costs at the size to design for."""

from __future__ import annotations

from absl import flags

from .registry import command

OUT = flags.DEFINE_string("out", None, "capacity measure: the file to write; else standard output")
SLOPES = flags.DEFINE_string(
    "slopes", None, "capacity table, check, write: the file of measured slopes; else the recorded one"
)
SIZE = flags.DEFINE_string(
    "size", None, "capacity: the file of the size to design for; else the one beside the sources"
)


@command("capacity", "capacity measure | table | check | write: what each role costs at the size to design for")
def _capacity(args: list[str]) -> int:
    from ..capacity.command import Capacity

    return Capacity(out=OUT.value, slopes=SLOPES.value, size=SIZE.value).run(args)
