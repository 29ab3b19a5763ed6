"""The ``check`` command: reviews a configuration before it is published."""

import argparse
import sys
from collections.abc import Iterator
from dataclasses import dataclass
from itertools import chain
from pathlib import Path

import msgspec
from result import Err, Ok, Result

from rattanstile.decoding import decode_untrusted
from rattanstile.errors import ExitCode, RattanstileError, SettingsError
from rattanstile.platform.operators import FIELD_NAMES, decode_entries
from rattanstile.version.fleet_config import ConfigEntries
from rattanstile.version.review.contradictions import find_contradictions
from rattanstile.version.review.differences import (
    ConfigDifference,
    find_differences,
)
from rattanstile.version.review.errors import find_errors
from rattanstile.version.review.findings import Finding, FindingKind
from rattanstile.version.review.reachability import find_unreachable

_DESCRIPTION = """\
Reports errors, entries that can never match, limits that contradict each
other, and what differs from another version. Reads files only. Keys are never
printed. Exit codes: 0 no errors, 1 errors (with --strict any finding), 2 a file
can't be read.
"""


class RefusedConfigError(RattanstileError):
    """Nodes can't decode the configuration and would refuse it."""


@dataclass(frozen=True, slots=True)
class Review:
    """What the review of a configuration found."""

    findings: tuple[Finding, ...]
    differences: tuple[ConfigDifference, ...]

    def exit_code(self, *, is_strict: bool) -> ExitCode:
        """Return the exit code of the command."""
        objections = [
            finding
            for finding in self.findings
            if is_strict or finding.kind is FindingKind.ERROR
        ]
        return ExitCode.FAILURE if objections else ExitCode.OK


class FindingReport(msgspec.Struct, frozen=True):
    """A finding in the JSON output.

    Attributes:
        kind: ``error``, ``never matches`` or ``contradiction``.
        path: Path in the document.
    """

    kind: str
    path: str
    problem: str
    remedy: str


class DifferenceReport(msgspec.Struct, frozen=True):
    """A difference in the JSON output.

    Attributes:
        refuses: Whether requests will be refused that are served now.
    """

    subject: str
    detail: str
    refuses: bool


class ReviewReport(msgspec.Struct, frozen=True):
    """The JSON output."""

    findings: tuple[FindingReport, ...]
    differences: tuple[DifferenceReport, ...]


def add_check_command(
    subparsers: 'argparse._SubParsersAction[argparse.ArgumentParser]',
) -> None:
    """Add the ``check`` command to a parser."""
    parser = subparsers.add_parser(
        'check',
        help="review a configuration of the users' platform",
        description=_DESCRIPTION,
        formatter_class=argparse.RawDescriptionHelpFormatter,
    )
    parser.add_argument('file', type=Path, help='configuration, JSON')
    parser.add_argument(
        '--against',
        type=Path,
        metavar='FILE',
        help='also print what differs from this version',
    )
    parser.add_argument(
        '--format', choices=('text', 'json'), default='text', help='output'
    )
    parser.add_argument(
        '--strict', action='store_true', help='fail on any finding'
    )
    parser.set_defaults(run=run_check)


def run_check(arguments: argparse.Namespace) -> ExitCode:
    """Print the review of a configuration and return the exit code."""
    proposed = read_entries(arguments.file)
    if isinstance(proposed, Err):
        return _report_error(proposed.err_value)
    in_force: ConfigEntries | None = None
    if arguments.against is not None:
        read = read_entries(arguments.against)
        if isinstance(read, Err):
            return _report_error(read.err_value)
        in_force = read.ok_value
    review = review_config(proposed.ok_value, in_force)
    if arguments.format == 'json':
        print(msgspec.json.encode(_report(review)).decode())
    else:
        for line in _text_lines(review):
            print(line)
    return review.exit_code(is_strict=arguments.strict)


def read_entries(path: Path) -> Result[ConfigEntries, RattanstileError]:
    """Read the entries of a configuration file."""
    try:
        document = path.read_bytes()
    except OSError as failure:
        return Err(SettingsError(str(path), '$', f'not readable: {failure}'))
    match decode_untrusted(decode_entries, document):
        case Err(undecodable):
            return Err(RefusedConfigError(f'{path}: {undecodable.message}'))
        case Ok(entries):
            return Ok(entries)


def review_config(
    proposed: ConfigEntries, in_force: ConfigEntries | None = None
) -> Review:
    """Return what is to be said about a configuration.

    Args:
        proposed: The configuration to be published.
        in_force: The version to compare it with; None for none.
    """
    findings = chain(
        find_errors(proposed),
        find_unreachable(proposed),
        find_contradictions(proposed),
    )
    differences: Iterator[ConfigDifference] = iter(())
    if in_force is not None:
        differences = find_differences(in_force, proposed)
    return Review(tuple(findings), tuple(differences))


def _text_lines(review: Review) -> Iterator[str]:
    for finding in review.findings:
        path = finding.place.text(FIELD_NAMES)
        yield f'{finding.kind.value}: {path}: {finding.problem}'
        yield f'    {finding.remedy}'
    for difference in review.differences:
        sign = '!' if difference.refuses else '~'
        yield f'{sign} {difference.subject}: {difference.detail}'
    errors = sum(
        finding.kind is FindingKind.ERROR for finding in review.findings
    )
    warnings = len(review.findings) - errors
    yield (
        f'{errors} errors, {warnings} warnings,'
        f' {len(review.differences)} differences'
    )


def _report(review: Review) -> ReviewReport:
    return ReviewReport(
        tuple(
            FindingReport(
                finding.kind.value,
                finding.place.text(FIELD_NAMES),
                finding.problem,
                finding.remedy,
            )
            for finding in review.findings
        ),
        tuple(
            DifferenceReport(each.subject, each.detail, each.refuses)
            for each in review.differences
        ),
    )


def _report_error(failure: RattanstileError) -> ExitCode:
    print(failure.message, file=sys.stderr)
    return failure.exit_code
