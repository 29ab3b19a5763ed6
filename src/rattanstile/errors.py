"""Base classes of all errors, with the exit code of each class."""

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
    """Base of all errors that this package raises or returns.

    Attributes:
        exit_code: Exit code of a command that ends with this error.
    """

    exit_code = ExitCode.FAILURE

    def __init__(self, message: str) -> None:
        """Store the message, which tells the user how to fix the problem."""
        super().__init__(message)
        self.message = message


class SettingsError(RattanstileError):
    """A settings or declaration file holds a value that is not allowed.

    Attributes:
        file_name: Name of the file that was read.
        field: Path of the field, such as ``$.log.address``.
        problem: The value found and the values allowed.
    """

    exit_code = ExitCode.USAGE

    def __init__(self, file_name: str, field: str, problem: str) -> None:
        """Build the message from the file name, field and problem."""
        super().__init__(f'{file_name}: {field}: {problem}')
        self.file_name = file_name
        self.field = field
        self.problem = problem


class ConflictError(RattanstileError):
    """The action conflicts with a change that took effect before it."""

    exit_code = ExitCode.CONFLICT


class UnavailableError(RattanstileError):
    """A required service is unavailable; the action had no effect."""

    exit_code = ExitCode.UNAVAILABLE


class UncertainError(RattanstileError):
    """The action may or may not have taken effect."""

    exit_code = ExitCode.UNCERTAIN
