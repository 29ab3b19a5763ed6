"""Call trees over many hops: the real entry machines around fake targets."""

from collections import Counter
from collections.abc import Callable
from dataclasses import dataclass, field
from functools import partial
from itertools import count
from random import Random

from bench.once_log import Loop
from rattanstile.process.entry.chooser import Chooser
from rattanstile.process.entry.contexts import CallContexts, CallToken
from rattanstile.process.entry.entry import EntryIdentity, EntryMachine
from rattanstile.process.membership.unreachable import UnreachableNodes
from rattanstile.process.messages import (
    CallRequested,
    PeerLost,
    ReplyArrived,
    RequestCompleted,
    SendCall,
    Ticked,
)
from rattanstile.process.rates.edge_bucket import EdgeBuckets
from rattanstile.request.envelope import Call, Member, Reply
from rattanstile.request.outcome import Outcome, Reason
from rattanstile.version.declaration import (
    Declaration,
    Route,
    Service,
    TargetLimits,
)
from rattanstile.version.in_force import VersionInForce

NODES_PER_SERVICE = 3
LINK_S = 0.001
TICK_S = 0.01
LOSS_FOUND_S = 0.3
DEADLINE_MS = 20000
ROUTE = Route()


@dataclass(slots=True)
class Faults:
    """What goes wrong in a tree.

    Attributes:
        last_fails: Share of the runs of the last service that fail.
        replies_lost: Share of all replies that never arrive.
        most_children: Calls that a target makes, at most.
    """

    last_fails: float = 1.0
    replies_lost: float = 0.0
    most_children: int = 1


@dataclass(slots=True)
class Counts:
    """What one tree came to.

    Attributes:
        asked: Calls that the caller and the targets asked for.
        sent: Attempts that entry nodes sent, by depth from 0.
    """

    asked: int = 0
    sent: Counter[int] = field(default_factory=Counter)
    outcome: Outcome | None = None

    @property
    def retries(self) -> int:
        """Return the attempts beyond the first of each call."""
        return self.sent.total() - self.asked


@dataclass(slots=True)
class _Running:
    """A call that a fake target runs."""

    call: Call
    sender: 'TreeNode'
    token: CallToken
    children_left: int
    is_whole: bool = True


class TreeNode:
    """The entry machine and the contexts of one node."""

    def __init__(self, tree: 'Tree', name: str, depth: int) -> None:
        """Make a node whose target calls the service one deeper."""
        self.tree = tree
        self.name = name
        self.depth = depth
        self.contexts = CallContexts(make_token=partial(next, tree.tokens))
        self._waiting: dict[int, Callable[[Reply], None]] = {}
        chooser = Chooser('fd', lambda: tree.version)
        chooser.members_changed(tree.members(depth), 0)
        self.entry = EntryMachine(
            EntryIdentity(name, 1),
            chooser,
            tree.rng,
            edge_buckets=tree.edge_buckets(),
            unreachable=UnreachableNodes(),
        )
        self.entry.adopt(tree.version)

    def ask(
        self, tries: int, hops: int, ended: Callable[[Reply], None]
    ) -> None:
        """Call the next service and tell the reply."""
        request_id = next(self.tree.numbers)
        self._waiting[request_id] = ended
        self.tree.counts.asked += 1
        self.step(
            CallRequested(
                request_id=request_id,
                call_id='',
                attempt=1,
                organisation='one',
                key_digest='',
                service=f's{self.depth}',
                method='GET',
                path='/',
                headers=(),
                body=b'',
                route=ROUTE,
                remaining_ms=DEADLINE_MS,
                tries_left=tries,
                hops=hops,
            )
        )

    def step(self, entry_input: object) -> None:
        """Step the entry machine and do what it says."""
        for output in self.entry.step(self.tree.loop.now_s, entry_input):
            match output:
                case SendCall(call=call, receiver=receiver):
                    self.tree.counts.sent[self.depth] += 1
                    node = self.tree.node(receiver, self.depth + 1)
                    self.tree.loop.after(
                        LINK_S, partial(node.serve, call, self)
                    )
                case RequestCompleted(request_id=request_id, reply=reply):
                    self._waiting.pop(request_id)(reply)
        wake_s = self.entry.next_wake_s()
        if wake_s is not None:
            delay_s = max(wake_s - self.tree.loop.now_s, 0)
            self.tree.loop.after(delay_s, self._tick)

    def _tick(self) -> None:
        wake_s = self.entry.next_wake_s()
        if wake_s is not None and wake_s <= self.tree.loop.now_s:
            self.step(Ticked())

    def serve(self, call: Call, sender: 'TreeNode') -> None:
        """Run a call on the fake target."""
        now_s = self.tree.loop.now_s
        token = self.contexts.begin(now_s, call, call.remaining_ms).unwrap()
        running = _Running(call, sender, token, self.tree.children(self.depth))
        self._go_on(running)

    def _go_on(self, running: _Running) -> None:
        if running.children_left == 0 or not running.is_whole:
            self._end(running)
            return
        running.children_left -= 1
        share = self.contexts.child(running.token).unwrap()

        def ended(reply: Reply) -> None:
            running.is_whole = reply.outcome is Outcome.WHOLE
            self.contexts.child_ended(
                running.token,
                share,
                reply.tries_unspent,
                whole=running.is_whole,
            )
            self._go_on(running)

        self.ask(share.tries, share.hops, ended)

    def _end(self, running: _Running) -> None:
        end = self.contexts.end(running.call.call_id)
        is_last = self.depth == self.tree.hops
        if is_last and self.tree.rng.random() < self.tree.faults.last_fails:
            running.is_whole = False
        reply = Reply(
            call_id=running.call.call_id,
            attempt=running.call.attempt,
            outcome=Outcome.WHOLE if running.is_whole else Outcome.FAILED,
            reason=None if running.is_whole else Reason.TARGET_FAILED,
            tries_unspent=end.tries_unspent,
            failed_below=end.failed_below,
        )
        self.tree.carry(reply, self, running.sender)


class Tree:
    """One call tree: a chain of services, each node with its own machines.

    Args:
        hops: Services below the caller.
        budget: Tries beyond the first that the tree may spend.
        with_buckets: Whether retries are held to a share of successes.
    """

    def __init__(
        self, seed: int, hops: int, budget: int, faults: Faults
    ) -> None:
        """Make the caller's entry node."""
        self.rng = Random(seed)
        self.loop = Loop()
        self.hops = hops
        self.budget = budget
        self.faults = faults
        self.counts = Counts()
        self.numbers = count(1)
        self.tokens = map(str, count(1))
        self._nodes: dict[str, TreeNode] = {}
        self.version = VersionInForce(
            1,
            Declaration(
                services=tuple(
                    Service(
                        name=f's{depth}',
                        routes=(ROUTE,),
                        limits=TargetLimits(slots=100),
                    )
                    for depth in range(hops)
                ),
            ),
        )

    def run(self) -> Counts:
        """Make one root call and let everything happen."""
        root = self.node('root', 0)
        root.ask(self.budget, 0, self._ended)
        self.loop.run(10 * DEADLINE_MS / 1000, bool)
        return self.counts

    def node(self, name: str, depth: int) -> TreeNode:
        """Return a node, made when it is first needed."""
        if name not in self._nodes:
            self._nodes[name] = TreeNode(self, name, depth)
        return self._nodes[name]

    def members(self, depth: int) -> list[Member]:
        """Return the nodes of the service at this depth."""
        return [
            Member(
                node_id=f's{depth}-{number}',
                incarnation=1,
                service=f's{depth}',
                failure_domain='fd',
                address='',
            )
            for number in range(NODES_PER_SERVICE)
        ]

    def edge_buckets(self) -> EdgeBuckets:
        """Return the buckets of a node, full at first."""
        return EdgeBuckets()

    def children(self, depth: int) -> int:
        """Return how many calls a target at this depth makes."""
        if depth >= self.hops:
            return 0
        if depth % 8 == 0:
            return self.rng.randint(1, self.faults.most_children)
        return 1

    def carry(self, reply: Reply, sender: TreeNode, entry: TreeNode) -> None:
        """Carry a reply, or lose it with its connection."""
        if self.rng.random() < self.faults.replies_lost:
            lost = PeerLost(sender.name)
            self.loop.after(LOSS_FOUND_S, partial(entry.step, lost))
            return
        arrived = ReplyArrived(reply, sender.name)
        self.loop.after(LINK_S, partial(entry.step, arrived))

    def _ended(self, reply: Reply) -> None:
        self.counts.outcome = reply.outcome
