"""One node: puts its parts together and takes them down again."""

import resource
import time
from collections.abc import Iterator
from contextlib import ExitStack, contextmanager
from functools import partial
from pathlib import Path
from random import Random, SystemRandom

import logbook
from twisted.internet.defer import Deferred

from rattanstile.connection.caller_http import listening_for_callers
from rattanstile.connection.control_bus import ControlBus, opened_control_bus
from rattanstile.connection.frames import (
    Farewell,
    Heartbeat,
    Hello,
    Role,
)
from rattanstile.connection.http_request import CallerHttpRequest
from rattanstile.connection.peer import (
    CallerLost,
    CallerMessageArrived,
    EpochHeard,
    MessageArrived,
    PeerEvent,
    PeerPool,
    PeerReady,
    listening_for_peers,
)
from rattanstile.connection.target_http import TargetSessions
from rattanstile.process.caller_links import CallerLinks
from rattanstile.process.chooser import Chooser
from rattanstile.process.configuration import Configuration
from rattanstile.process.contexts import CallContexts
from rattanstile.process.control_messages import (
    AppendRecord,
    ControlArrived,
    LogRecordRead,
    SendControl,
)
from rattanstile.process.control_service import ControlService, Family
from rattanstile.process.entry import EntryIdentity, EntryMachine
from rattanstile.process.entry_service import (
    EntryPorts,
    EntryRequest,
    EntryService,
)
from rattanstile.process.gate import Asked, Gate
from rattanstile.process.home_table import HomeTable
from rattanstile.process.log_client import LogClient
from rattanstile.process.logs import key_values
from rattanstile.process.member_service import MemberService
from rattanstile.process.messages import (
    AskHome,
    BindingWanted,
    HomeSeen,
    PeerLost,
    ReplyArrived,
    SendCall,
    SendCancel,
    SendReply,
)
from rattanstile.process.metrics import Metrics, opened_metrics
from rattanstile.process.operator_http import (
    NodeStatus,
    listening_for_operators,
)
from rattanstile.process.rate_borrower import Borrower
from rattanstile.process.rate_messages import ProcessId
from rattanstile.process.rate_owner import RateOwner
from rattanstile.process.rate_service import RateService
from rattanstile.process.reactor import Reactor
from rattanstile.process.serving import ServingIdentity, ServingMachine
from rattanstile.process.serving_service import ServingService
from rattanstile.process.settings import NodeSettings, parse_address
from rattanstile.process.timers import TimerService
