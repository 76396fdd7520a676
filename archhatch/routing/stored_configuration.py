"""Configurations as the plan register holds them: with the form in which they were stored, and the one reader of it.

The register's value has the newest configuration under `plan`, the form of it under `plan_form`, and, while the newest
one cannot be read, the newest that can under `plan_fallback`. The mark of the form names the revision that it is of: a
version of this software that knows no forms leaves the mark of an older revision behind, and its configuration counts
as one of form 1. Such a version reads each configuration of form 2 as this one does, and passes over the mark.

Both are lists, `[revision, form]` and `[form, document]`, which the feed's changes replace whole: a reader that was
with a control node of an earlier version holds the same version of the register without these keys.
"""

from __future__ import annotations

from collections.abc import Mapping
from dataclasses import dataclass
from typing import Any

from ..runtime.build_info import STORED_FORMS
from ..runtime.message import Message, wire
from ..runtime.schema import any_object, integer
from .configuration import Configuration, read_configuration
from .migration import migrate_form_1

UNMARKED_FORM = 1  # checked with a reader that converts, and stored as it came
PRESENT_FORM = STORED_FORMS["configuration"]  # accepted by read_configuration
MAX_FORM = 1000

# keys of the plan register's value
DOCUMENT_KEY = "plan"
FORM_KEY = "plan_form"
FALLBACK_KEY = "plan_fallback"


@dataclass(frozen=True, slots=True)
class StoredConfiguration(Message):
    """A configuration and the form in which it was stored."""

    document: dict = wire("Document", decode=any_object)
    form: int = wire("Form", decode=integer(UNMARKED_FORM, MAX_FORM))

    @property
    def revision(self) -> int:
        """Its revision; 0 if it does not say."""
        found = self.document.get("Revision")
        return found if isinstance(found, int) else 0

    def present_document(self) -> dict:
        """Returns the document in the present form."""
        if self.form != UNMARKED_FORM:
            return self.document
        migrated = migrate_form_1(self.document)
        return migrated if isinstance(migrated, dict) else self.document

    def read(self) -> Configuration:
        """Reads it.

        Raises:
            InvalidConfigError: It cannot be read.
        """
        return read_configuration(self.present_document())


def newest_configuration(register: Mapping[str, Any]) -> StoredConfiguration | None:
    """Returns the newest configuration of the plan register's value, or of the feed's view of it; None without one.

    >>> newest_configuration({"plan": {"Revision": 2}, "plan_form": [1, 2]}).form
    1
    """
    document = register.get(DOCUMENT_KEY)
    if document is None:
        return None
    match register.get(FORM_KEY):
        case [revision, int(form)] if revision == document.get("Revision"):
            return StoredConfiguration(document, form)
    return StoredConfiguration(document, UNMARKED_FORM)


def fallback_configuration(register: Mapping[str, Any]) -> StoredConfiguration | None:
    """Returns the configuration that stands in for a newest one that cannot be read; None without one."""
    match register.get(FALLBACK_KEY):
        case [int(form), dict(document)]:
            return StoredConfiguration(document, form)
    return None


def set_fallback(register: dict[str, Any], stored: StoredConfiguration) -> None:
    """Stores a configuration that can be read beside the newest one, which cannot."""
    register[FALLBACK_KEY] = [stored.form, stored.document]


def put_configuration(register: dict[str, Any], configuration: Configuration, document: dict) -> None:
    """Makes a configuration, which was read, the newest one."""
    register[DOCUMENT_KEY] = document
    register[FORM_KEY] = [configuration.revision, PRESENT_FORM]
    register.pop(FALLBACK_KEY, None)


def stored_fields(register: Mapping[str, Any]) -> dict[str, Any]:
    """Returns what the feed's view of the plan register has of its configuration."""
    fields = {DOCUMENT_KEY: register.get(DOCUMENT_KEY)}
    fields.update({key: register[key] for key in (FORM_KEY, FALLBACK_KEY) if key in register})
    return fields
