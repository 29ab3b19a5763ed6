"""Settings of a node: JSON, with comments on lines of their own."""

import re
from pathlib import Path

import msgspec

from rattanstile.errors import SettingsError
from rattanstile.request.ids import FailureDomainId, NodeId, ServiceName

_COMMENT = re.compile(r'^\s*//.*$', re.MULTILINE)
_DURATION = re.compile(r'(\d+(?:\.\d+)?)(ms|s)')


class MeshSettings(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """What a node is told of itself and of its surroundings.

    Attributes:
        node_id: Differs between all nodes.
        service: Service of the target beside the node.
        failure_domain: Where the VM runs.
        target_address: Where the target is called.
        caller_address: Where callers and the target call.
        peer_address: Where other nodes call.
        ready_address: Where readiness is asked.
        announcement_address: Where the target announces itself.
        metrics_address: Where counters are read.
        store_address: Where the platform's store answers.
        grace: Longest time from SIGTERM to the end, such as ``6s``.
        rerun_ratio: Second sends allowed for each first one.
        rerun_slack: Second sends allowed beside.
        peer_listen_address: Where it listens for other nodes, if they reach
            it by another address; empty for `peer_address`.
    """

    node_id: NodeId
    service: ServiceName
    failure_domain: FailureDomainId
    target_address: str
    caller_address: str
    peer_address: str
    ready_address: str
    announcement_address: str
    metrics_address: str
    store_address: str
    grace: str
    rerun_ratio: float
    rerun_slack: float
    peer_listen_address: str = ''

    @property
    def grace_s(self) -> float:
        """Return the longest time from SIGTERM to the end."""
        return duration_s(self.grace) or 0


def duration_s(text: str) -> float | None:
    """Return the seconds of a text such as ``250ms``; None for others."""
    found = _DURATION.fullmatch(text)
    if found is None:
        return None
    amount = float(found.group(1))
    return amount / 1000 if found.group(2) == 'ms' else amount


def read_mesh_settings(file_name: str) -> MeshSettings:
    """Return the settings in a file.

    Raises:
        SettingsError: The file can't be read, or a field is wrong.
    """
    try:
        text = Path(file_name).read_text(encoding='utf-8')
    except OSError as error:
        raise SettingsError(file_name, '$', str(error)) from error
    try:
        settings = msgspec.json.decode(
            _COMMENT.sub('', text), type=MeshSettings
        )
    except msgspec.MsgspecError as error:
        raise SettingsError(file_name, '$', str(error)) from error
    if duration_s(settings.grace) is None:
        raise SettingsError(
            file_name, '$.grace', 'write a duration such as 6s or 500ms'
        )
    return settings
