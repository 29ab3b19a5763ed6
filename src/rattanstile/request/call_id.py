"""Call ids: who may run a call, who issued it, and how old it may get."""

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
_NUMBERS = (1, 2, 4, 5)
_MOST_DIGITS = 16
_MOST_QUOTED = 4096


class CallIdError(RattanstileError):
    """A text is not a call id."""


@dataclass(frozen=True, slots=True)
class ParsedCallId:
    """The parts of a call id.

    Attributes:
        home: The node that alone may run the call; empty when any may.
        home_incarnation: The incarnation of the home that alone may run it.
        id_epoch: The home's own id epoch when the id was issued.
        issuer: Who issued the id.
        issuer_incarnation: Keeps ids apart over a restart of the issuer.
        sequence: Counts the ids of one issuer incarnation from 1.
    """

    home: NodeId
    home_incarnation: Incarnation
    id_epoch: int
    issuer: str
    issuer_incarnation: Incarnation
    sequence: int

    def render(self) -> CallId:
        """Return the id as the text that travels."""
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
        """Return the id in the organisation's own name space.

        An id that a caller made is moved there before use, so that no
        organisation can name the call of another one or of a node.
        """
        return replace(self, issuer=f'{_quoted(organisation)}@{self.issuer}')


class CallIdIssuer:
    """Issues call ids, each once.

    Args:
        issuer: Node id, or a random text for a caller.
        incarnation: Larger after each restart of the issuer.
    """

    def __init__(self, issuer: str, incarnation: Incarnation) -> None:
        """Start the sequence."""
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
    """Return the parts of a call id, or why the text is none."""
    parts = text.split(_SEPARATOR)
    if len(parts) != _PART_COUNT:
        return Err(CallIdError(f'{text!r}: expected {_PART_COUNT} parts'))
    if not all(_is_number(parts[index]) for index in _NUMBERS):
        return Err(CallIdError(f'{text!r}: a number is not one'))
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


@lru_cache(maxsize=_MOST_QUOTED)
def _quoted(part: str) -> str:
    return quote(part, safe=':')


def _is_number(text: str) -> bool:
    return (
        text.isascii()
        and text.isdigit()
        and len(text) <= _MOST_DIGITS
        and str(int(text)) == text
    )
