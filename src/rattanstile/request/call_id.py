"""Call ids: home, issuer and id epoch, which limits a call's age."""

from dataclasses import dataclass, replace
from functools import lru_cache
from itertools import count
from urllib.parse import quote, unquote

from result import Err, Ok, Result

from rattanstile.errors import RattanstileError
from rattanstile.request.ids import (
    CallId,
    Incarnation,
    NodeId,
    OrganisationId,
)

NO_HOME = NodeId('')
"""Home in the id of an idempotent call, which any node may run."""

NO_INCARNATION = Incarnation(0)

_SEPARATOR = '/'
_PART_COUNT = 6
_NUMBER_INDEXES = (1, 2, 4, 5)
_MAX_DIGITS = 16
_MAX_CACHED_PARTS = 4096


class CallIdError(RattanstileError):
    """A text is not a valid call id."""


@dataclass(frozen=True, slots=True)
class ParsedCallId:
    """The parts of a call id.

    Attributes:
        home: The only node that may run the call; empty when any node may.
        home_incarnation: The only incarnation of the home that may run it.
        id_epoch: Id epoch of the home when the id was issued.
        issuer: Node or caller that issued the id.
        issuer_incarnation: Distinguishes ids issued before and after a restart
            of the issuer.
        sequence: Number of the id among those of one issuer incarnation, from
            1.
    """

    home: NodeId
    home_incarnation: Incarnation
    id_epoch: int
    issuer: str
    issuer_incarnation: Incarnation
    sequence: int

    def render(self) -> CallId:
        """Return the text form of the id, as sent on the wire."""
        return CallId(
            _SEPARATOR.join(
                (
                    _quoted(self.home),
                    str(self.home_incarnation),
                    str(self.id_epoch),
                    _quoted(self.issuer),
                    str(self.issuer_incarnation),
                    str(self.sequence),
                )
            )
        )

    def of_organisation(self, organisation: OrganisationId) -> 'ParsedCallId':
        """Return the id qualified with the organisation's namespace.

        An id that comes from a caller is qualified before use, so that no
        organisation can refer to a call of another organisation or of a node.
        """
        return replace(self, issuer=f'{_quoted(organisation)}@{self.issuer}')


class CallIdIssuer:
    """Issues unique call ids.

    Args:
        issuer: Node id, or a random string for a caller.
        incarnation: Increases with each restart of the issuer.
    """

    def __init__(self, issuer: str, incarnation: Incarnation) -> None:
        """Start the sequence at 1."""
        self._issuer = issuer
        self._incarnation = incarnation
        self._sequence = count(1)

    def issue(
        self,
        home: NodeId = NO_HOME,
        home_incarnation: Incarnation = NO_INCARNATION,
        id_epoch: int = 0,
    ) -> ParsedCallId:
        """Return a new id for a call that this home may run."""
        return ParsedCallId(
            home=home,
            home_incarnation=home_incarnation,
            id_epoch=id_epoch,
            issuer=self._issuer,
            issuer_incarnation=self._incarnation,
            sequence=next(self._sequence),
        )


def parse_call_id(text: str) -> Result[ParsedCallId, CallIdError]:
    """Return the parts of a call id, or an error for an invalid text."""
    parts = text.split(_SEPARATOR)
    if len(parts) != _PART_COUNT:
        return Err(CallIdError(f'{text!r}: expected {_PART_COUNT} parts'))
    if not all(_is_number(parts[index]) for index in _NUMBER_INDEXES):
        return Err(CallIdError(f'{text!r}: invalid number'))
    return Ok(
        ParsedCallId(
            home=NodeId(unquote(parts[0])),
            home_incarnation=Incarnation(int(parts[1])),
            id_epoch=int(parts[2]),
            issuer=unquote(parts[3]),
            issuer_incarnation=Incarnation(int(parts[4])),
            sequence=int(parts[5]),
        )
    )


@lru_cache(maxsize=_MAX_CACHED_PARTS)
def _quoted(part: str) -> str:
    return quote(part, safe=':')


def _is_number(text: str) -> bool:
    return (
        text.isascii()
        and text.isdigit()
        and len(text) <= _MAX_DIGITS
        and str(int(text)) == text
    )
