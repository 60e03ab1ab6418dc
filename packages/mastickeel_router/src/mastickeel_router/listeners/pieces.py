"""Collects the pieces of an answer, and counts them in the memory of the instance."""

from __future__ import annotations

from sys import getsizeof
from typing import TYPE_CHECKING, Generic, TypeVar

from mastickeel.errors import ExecutionStatus, MastickeelError
from mastickeel.httpmessages import AnswerTooLargeError

if TYPE_CHECKING:
    from collections.abc import Iterator

    from mastickeel_router.listeners.memory import HeldMemory

REFERENCE_BYTES = 8
"""Memory of a piece's place in a list."""

T = TypeVar("T", str, bytes)


class AnswerNotHeldError(MastickeelError):
    """Raised when the pieces of an answer were dropped, as the memory of the instance is full."""

    code = "answer_not_held"
    status = 502
    title = "The answer did not fit into the memory of the instance."
    remedy = "Request the answer as a stream, or a shorter one."
    ran = ExecutionStatus.YES


class HeldPieces(Generic[T]):
    """Pieces of an answer that are collected before any of them is sent."""

    def __init__(self, memory: HeldMemory) -> None:
        """Creates an empty collection.

        Args:
            memory: Counts the pieces; may drop them to find room for others.
        """
        self._pieces: list[T] = []
        self._size = 0
        self._is_dropped = False
        self._share = memory.open_share(self._drop)

    def __enter__(self) -> HeldPieces[T]:
        return self

    def __exit__(self, *error: object) -> None:
        self.clear()
        self._share.close()

    def __iter__(self) -> Iterator[T]:
        """Yields the pieces in order.

        Raises:
            AnswerNotHeldError: When the pieces were dropped, also while they are iterated over.
        """
        index = 0
        while index < len(self._pieces) or self._is_dropped:
            self._check()
            yield self._pieces[index]
            index += 1

    def append(self, piece: T) -> None:
        """Adds a piece.

        Raises:
            AnswerNotHeldError: When there is no room for it, or the pieces were dropped before.
        """
        self._check()
        self._pieces.append(piece)
        self._size += getsizeof(piece) + REFERENCE_BYTES
        try:
            self._share.resize(self._size)
        except AnswerTooLargeError:
            self._drop()
            self._check()

    def clear(self) -> None:
        """Removes all pieces, and returns their memory."""
        self._pieces.clear()
        self._size = 0
        self._share.shrink(0)

    def _drop(self) -> None:
        """Drops the pieces, so that their memory can be given to others."""
        self._is_dropped = True
        self._pieces.clear()
        self._size = 0

    def _check(self) -> None:
        if self._is_dropped:
            raise AnswerNotHeldError("The answers under way filled the memory reserved for them.")
