"""Findings of the review of a configuration."""

from collections.abc import Mapping
from dataclasses import dataclass
from enum import Enum, unique


@unique
class FindingKind(Enum):
    """What is wrong with an entry.

    An error is refused by nodes, or taken and harmful. An unreachable entry
    never matches anything. A contradiction is between two limits.
    """

    ERROR = 'error'
    UNREACHABLE = 'never matches'
    CONTRADICTION = 'contradiction'


@unique
class Section(Enum):
    """Part of a configuration."""

    CONFIG = ''
    ROUTES = 'routes'
    SERVICES = 'services'
    ORGANISATIONS = 'organisations'
    LIMITS = 'limits'


@dataclass(frozen=True, slots=True)
class Place:
    """Where a finding is.

    Attributes:
        index: Position in the section; None for a section without a list.
        name: Name of the entry.
        field: Field of the entry; empty for the whole entry.
    """

    section: Section
    index: int | None = None
    name: str = ''
    field: str = ''

    def text(self, field_names: Mapping[str, str]) -> str:
        """Return the path in the document.

        Args:
            field_names: Names that the document uses for sections and fields.
        """
        section = self.section.value
        path = field_names.get(section, section)
        if self.index is not None:
            path = f'{path}[{self.index}]'
        if self.field:
            field = field_names.get(self.field, self.field)
            path = f'{path}.{field}' if path else field
        return f'{path} ({self.name})' if self.name else path


@dataclass(frozen=True, slots=True)
class Finding:
    """One finding.

    Attributes:
        problem: What was found.
        remedy: What to do about it.
    """

    kind: FindingKind
    place: Place
    problem: str
    remedy: str
