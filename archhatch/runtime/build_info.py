"""Which code a process runs: the product's version, a fingerprint of the sources, and what they run on.

Byte code is checked against its source at each import where `deploy/build.py` compiled it, so that the sources on disk
are what was loaded.
"""

from __future__ import annotations

import hashlib
import platform
import re
import sys
from dataclasses import dataclass
from functools import cache
from pathlib import Path

from .message import Message, wire

PRODUCT_VERSION = "0.9.0"
STORED_FORMS = {"configuration": 2}  # the newest form that this version writes, by kind of document
FINGERPRINT_BYTES = 6
PACKAGE = Path(__file__).resolve().parent.parent
REQUIREMENTS = PACKAGE.parent / "requirements.txt"


@dataclass(frozen=True, slots=True)
class BuildInfo(Message):
    """What a process runs.

    Attributes:
        version: The product's version.
        sources: The fingerprint of the package's sources.
        stored_forms: The newest form that is written, by kind of document.
        python: The interpreter and its version.
        machine: The operating system and the kind of processor.
        libraries: The version of each library by name; "missing" for one that is not installed.
    """

    version: str = wire("Version")
    sources: str = wire("Sources")
    stored_forms: dict[str, int] = wire("StoredForms")
    python: str = wire("Python")
    machine: str = wire("Machine")
    libraries: dict[str, str] = wire("Libraries")

    def __str__(self) -> str:
        forms = ",".join(f"{kind}:{form}" for kind, form in self.stored_forms.items())
        libraries = ",".join(f"{name}:{version}" for name, version in self.libraries.items())
        return (
            f"version={self.version} sources={self.sources} stored_forms={forms} python={self.python} "
            f"machine={self.machine} libraries={libraries}"
        )


def source_fingerprint(folder: Path = PACKAGE) -> str:
    """Returns a fingerprint of all Python sources below a folder: of their paths in it and their bytes.

    >>> source_fingerprint() == source_fingerprint(), len(source_fingerprint())
    (True, 12)
    """
    digest = hashlib.blake2b(digest_size=FINGERPRINT_BYTES)
    for path in sorted(folder.rglob("*.py")):
        raw = path.read_bytes()
        digest.update(f"{path.relative_to(folder).as_posix()}\0{len(raw)}\0".encode())
        digest.update(raw)
    return digest.hexdigest()


def required_libraries(requirements: str) -> list[str]:
    r"""Returns the names of the libraries in a requirements file.

    >>> required_libraries("orjson==3.11.*\n# a comment\naiohttp==3.14.5\n")
    ['aiohttp', 'orjson']
    """
    lines = (line.strip() for line in requirements.splitlines())
    return sorted(line.partition("==")[0] for line in lines if line and not line.startswith("#"))


def installed_versions(folders: list[str]) -> dict[str, str]:
    """Returns the version of each distribution in some folders by its normalized name; the first folder counts.

    The names of the folders that installers leave are read: importlib.metadata would cost each start 20 ms.
    """
    versions: dict[str, str] = {}
    for folder in folders:
        for path in sorted(Path(folder).glob("*.dist-info")):
            name, _, version = path.name.removesuffix(".dist-info").partition("-")
            versions.setdefault(_normalized(name), version)
    return versions


def _normalized(name: str) -> str:
    return re.sub(r"[-_.]+", "-", name).lower()


@cache
def build_info() -> BuildInfo:
    """Returns what this process runs; worked out once."""
    required = required_libraries(REQUIREMENTS.read_text(encoding="utf-8")) if REQUIREMENTS.exists() else []
    installed = installed_versions(sys.path)
    return BuildInfo(
        version=PRODUCT_VERSION,
        sources=source_fingerprint(),
        stored_forms=STORED_FORMS,
        python=f"{platform.python_implementation()}-{platform.python_version()}",
        machine=f"{platform.system()}-{platform.machine()}",
        libraries={library: installed.get(_normalized(library), "missing") for library in required},
    )
