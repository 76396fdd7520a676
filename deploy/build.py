"""Builds what the programs need: installs the libraries under target/ and compiles the byte code.

Run in the repository: python3 deploy/build.py [--tests]

What stands under target/ is kept only if its stamp says that it was made from these requirements by this interpreter on
this kind of machine; times of files say nothing, as folders are carried from one machine to another. Byte code carries
the hash of its source, which the interpreter checks at each import.
"""

from __future__ import annotations

import hashlib
import importlib.util
import os
import platform
import py_compile
import shutil
import subprocess
import sys
import sysconfig
from pathlib import Path

ROOT = Path(__file__).resolve().parent.parent
TARGET = ROOT / "target"
# The header of a byte code file (PEP 552): the magic number, flags, the hash of the source.
HEADER_BYTES = 16
CHECKED_HASH_FLAGS = 0b11
STAMP = "build-stamp"  # beside the libraries, written when all of them are there
LIBRARIES = {"deps": "requirements.txt"}  # the folder under target/ by the requirements of what stands in it
TEST_LIBRARIES = {"test": "requirements-test.txt"}


def stamp_of(requirements: bytes, interpreter: str, machine: str) -> str:
    """Returns what identifies a folder of libraries.

    Args:
        requirements: The requirements file.
        interpreter: The tag of the interpreter's byte code and extensions.
        machine: The platform that extensions are built for.
    """
    digest = hashlib.sha256(requirements).hexdigest()
    return f"{digest} {interpreter} {machine}\n"


def present_stamp(requirements: Path) -> str:
    """Returns the stamp of a requirements file for this interpreter and machine."""
    interpreter = f"{sys.implementation.cache_tag} {platform.python_version()} {sysconfig.get_config_var('SOABI')}"
    return stamp_of(requirements.read_bytes(), interpreter, sysconfig.get_platform())


def install(folder: Path, requirements: Path) -> bool:
    """Installs libraries into a folder, unless its stamp says that they are there.

    Returns:
        Whether they had to be installed.
    """
    stamp = present_stamp(requirements)
    mark = folder / STAMP
    if mark.is_file() and mark.read_text() == stamp:
        return False
    fresh = folder.with_name(f"{folder.name}.{os.getpid()}")  # so that a build that ends early leaves nothing half made
    shutil.rmtree(fresh, ignore_errors=True)
    command = [sys.executable, "-m", "pip", "install", "-q", "--target", str(fresh), "-r", str(requirements)]
    subprocess.run(command, check=True)  # compiles the libraries too
    (fresh / STAMP).write_text(stamp)
    shutil.rmtree(folder, ignore_errors=True)
    fresh.rename(folder)
    return True


def has_current_byte_code(source: Path) -> bool:
    """Whether a source has byte code of this interpreter that carries its hash, and has it checked at each import."""
    byte_code = Path(importlib.util.cache_from_source(str(source)))
    if not byte_code.is_file():
        return False
    with byte_code.open("rb") as file:
        header = file.read(HEADER_BYTES)
    flags = CHECKED_HASH_FLAGS.to_bytes(4, "little")
    return header == importlib.util.MAGIC_NUMBER + flags + importlib.util.source_hash(source.read_bytes())


def compile_sources(folder: Path) -> None:
    """Compiles the sources below a folder to byte code that carries their hash, where that is not there yet."""
    checked = py_compile.PycInvalidationMode.CHECKED_HASH
    for source in sorted(folder.rglob("*.py")):
        if not has_current_byte_code(source):
            py_compile.compile(str(source), doraise=True, invalidation_mode=checked)


def main(arguments: list[str]) -> int:
    """Builds; with --tests also what the tests need. Returns the exit status."""
    libraries = {**LIBRARIES, **TEST_LIBRARIES} if "--tests" in arguments else LIBRARIES
    for name, requirements in libraries.items():
        install(TARGET / name, ROOT / requirements)
    compile_sources(ROOT / "archhatch")
    return 0


if __name__ == "__main__":
    sys.exit(main(sys.argv[1:]))
