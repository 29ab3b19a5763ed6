"""Base classes of all failures, with the exit code each one maps to."""

from enum import IntEnum, unique


@unique
class ExitCode(IntEnum):
    """Exit codes of the command line."""

    OK = 0
    FAILURE = 1
    USAGE = 2
    CONFLICT = 3
    UNAVAILABLE = 4
    UNCERTAIN = 5


class RattanstileError(Exception):
    """Base of every failure that this package raises or returns.

    Attributes:
        exit_code: What the command line exits with.
    """

    exit_code = ExitCode.FAILURE

    def __init__(self, message: str) -> None:
        """Keep the message that tells the user how to mend the failure."""
        super().__init__(message)
        self.message = message


class SettingsError(RattanstileError):
    """A settings or declaration file holds a value that is not allowed.

    Attributes:
        file_name: The file read.
        field: Path of the field, such as ``$.log.address``.
        problem: What was found and what is allowed.
    """

    exit_code = ExitCode.USAGE

    def __init__(self, file_name: str, field: str, problem: str) -> None:
        """Build the message from its parts."""
        super().__init__(f'{file_name}: {field}: {problem}')
        self.file_name = file_name
        self.field = field
        self.problem = problem


class ConflictError(RattanstileError):
    """Another change came first."""

    exit_code = ExitCode.CONFLICT


class UnavailableError(RattanstileError):
    """A service that the action needs does not answer; nothing was done."""

    exit_code = ExitCode.UNAVAILABLE


class UncertainError(RattanstileError):
    """The action may or may not have taken effect."""

    exit_code = ExitCode.UNCERTAIN
