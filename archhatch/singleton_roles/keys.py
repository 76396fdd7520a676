"""Keys of singleton roles, such as `accounting` or `accounting/window:356302007`.

The part before the slash is the namespace. The namespace alone is the key of the standing lease, under which the
effects of the namespace are done. An effect's key goes on with its kind and a number that rises.
"""

from __future__ import annotations

from dataclasses import dataclass


@dataclass(frozen=True, slots=True)
class RoleKey:
    """A key taken apart.

    Attributes:
        namespace: The register that holds the record; also the key of its standing lease.
        kind: What the effect is about, such as `window`; empty for a standing lease.
        number: The effect's number within its kind; 0 for a standing lease.
    """

    namespace: str
    kind: str = ""
    number: int = 0

    @classmethod
    def parse(cls, key: str) -> RoleKey:
        """Takes a key apart.

        >>> RoleKey.parse("accounting/window:17"), RoleKey.parse("accounting").kind
        (RoleKey(namespace='accounting', kind='window', number=17), '')

        Raises:
            ValueError: The part behind the last colon is no number.
        """
        namespace, _, effect = key.partition("/")
        kind, _, number = effect.rpartition(":")
        return cls(namespace, kind, int(number) if number else 0)


def is_effect_key(key: str) -> bool:
    """Whether a key names an effect, not a standing lease."""
    return "/" in key
