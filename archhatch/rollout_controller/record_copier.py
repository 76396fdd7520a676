"""Copies the records of one leadership term, by tasks of the term's own.

A copy goes on whatever becomes of those who wait for it: a record that was sent to some stores must come to enough of
them, or end the term.
"""

from __future__ import annotations

import asyncio
from collections.abc import Callable

from ..jobs import BatchJob, DeposedError, JobOwnedElsewhereError, Record
from ..jobs.record import Kind
from .host import LeadershipHost
from .job_claims import JobClaims


class RecordCopier:
    """Has records copied to enough stores, each once at a time.

    Attributes:
        in_flight: The tasks that copy, by the place of the first record.

    >>> # copier = RecordCopier(host, "service", 3, on_copied, step_down); await copier.copy([record], batch_job)
    """

    def __init__(
        self,
        host: LeadershipHost,
        run: str,
        term: int,
        on_copied: Callable[[list[Record], BatchJob | None], None],
        step_down: Callable[[], None],
    ) -> None:
        """Makes the copier of a term.

        Args:
            host: The store that holds the run.
            run: The run whose records these are.
            term: The leadership term.
            on_copied: Called with records, and their job, that came to enough stores.
            step_down: Ends the term.
        """
        self.host = host
        self.run = run
        self.term = term
        self.in_flight: dict[tuple | None, asyncio.Task] = {}
        self._claims = JobClaims(host, run, term)
        self._on_copied = on_copied
        self._step_down = step_down

    async def copy(self, records: list[Record], batch_job: BatchJob | None) -> None:
        """Has records copied; returns when enough stores have them. Whoever asks for the same waits for the same.

        Raises:
            DeposedError: The term ended before enough stores had them.
            JobOwnedElsewhereError: They are of a job that another run has, or may have.
        """
        key = records[0].place()
        task = self.in_flight.get(key)
        if task is None:
            task = self.host.task_group.spawn("records", self._copy, key, records, batch_job)
            self.in_flight[key] = task
        await asyncio.wait({task})  # unlike an await of the task, this leaves it running if the waiter is cancelled
        if not task.cancelled() and isinstance(task.result(), JobOwnedElsewhereError):
            raise JobOwnedElsewhereError(task.result().owner)
        if task.cancelled() or task.result() is not True:
            raise DeposedError(self.run)

    async def _copy(
        self, key: tuple | None, records: list[Record], batch_job: BatchJob | None
    ) -> bool | JobOwnedElsewhereError:
        try:
            if records[0].kind == Kind.JOB:
                await self._claims.accept(records[0])
            else:
                await self.host.replicator.replicate(self.run, self.term, records)
        except DeposedError:
            self._step_down()
            return False
        except JobOwnedElsewhereError as error:
            return error
        except Exception:
            self._step_down()  # a record without its copies must not stand in a term that goes on
            raise
        finally:
            self.in_flight.pop(key, None)
        self._on_copied(records, batch_job)
        return True

    def cancel_all(self) -> None:
        """Cancels all copies of a term that has ended; those who wait get DeposedError."""
        for task in self.in_flight.values():
            task.cancel()
