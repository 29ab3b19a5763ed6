"""Small fakes of links, targets, callers and log around the real machines."""

from functools import partial
from itertools import count
from random import Random

from bench.once_links import Links
from bench.once_log import Log, Loop
from bench.once_node import (
    KEY_DIGEST,
    ORGANISATION,
    SERVICE,
    Node,
    Operation,
    version_in_force,
)
from rattanstile.process.messages import (
    CallRequested,
    DrainBegan,
    HomeGone,
    RequestAbandoned,
)
from rattanstile.process.serving.home_table import HomeLimits
from rattanstile.request.call_id import CallIdIssuer
from rattanstile.request.envelope import Member, Reply
from rattanstile.request.outcome import Outcome

DEADLINES_MS = (150, 800, 2500)
MOST_ATTEMPTS = 6
CALLS = 10
LONGEST_RUN_S = 40.0


class World(Links):
    """Nodes, links, callers and faults of one seed.

    Args:
        idempotent: Declares the route idempotent: the baseline without homes.
    """

    def __init__(
        self, seed: int, *, idempotent: bool = False, nodes: int = 4
    ) -> None:
        """Start the nodes and schedule calls and faults."""
        super().__init__(Random(seed), Loop())
        self.version = version_in_force(idempotent=idempotent)
        self.route = self.version.route(SERVICE, 'POST', '/')
        self.limits = self._limits()
        self.log = Log(self.loop, self.rng)
        self.operations: list[Operation] = []
        self.ran_ids: set[str] = set()
        self.request_ids = count(1)
        self.incarnations = count(1)
        self.is_naive = idempotent
        self.node_ids = [f'n{number}' for number in range(nodes)]
        self._known = {node_id: 0 for node_id in self.node_ids}
        for node_id in self.node_ids:
            self._start(node_id)
        self._schedule()

    def run(self) -> None:
        """Let everything happen."""
        self.loop.run(
            LONGEST_RUN_S, lambda: all(one.is_over for one in self.operations)
        )
        # What was cut off from its caller may still run.
        self.loop.run(self.loop.now_s + 4, bool)

    def members(self) -> list[Member]:
        """Return the nodes as the members stream names them."""
        return [
            Member(
                node_id=node_id,
                incarnation=incarnation,
                service=SERVICE,
                failure_domain='fd',
                address='',
            )
            for node_id, incarnation in self._known.items()
        ]

    def operation_of(self, body: bytes) -> Operation:
        """Return the operation whose caller sent this body."""
        return self.operations[int(body.split(b'-')[1])]

    def _limits(self) -> HomeLimits:
        if self.rng.random() < 0.3:
            return HomeLimits(
                max_calls=self.rng.choice((1, 2, 6)),
                max_cached_bytes=20,
                epoch_length_s=0.7,
            )
        return HomeLimits()

    # Nodes

    def _start(self, node_id: str) -> None:
        incarnation = next(self.incarnations)
        self._known[node_id] = incarnation
        self.nodes[node_id] = Node(self, node_id, incarnation)
        for node in self.nodes.values():
            told = partial(self._tell_members, node)
            node.later(self.rng.uniform(0, 1), told)

    def _tell_members(self, node: Node) -> None:
        node.chooser.members_changed(self.members(), self.loop.now_s)

    def _tell_gone(self, gone: HomeGone) -> None:
        for node in self.nodes.values():
            told = partial(node.step_entry, gone)
            node.later(self.rng.uniform(0.1, 2), told)

    def _kill(self, node_id: str) -> None:
        if not self.nodes[node_id].is_up:
            return
        dead = self.nodes[node_id]
        dead.is_up = False
        for operation, attempt in dead.requests.values():
            self._caller_lost(operation, attempt)
        self.cut(node_id)
        if self.rng.random() < 0.5:
            self._tell_gone(HomeGone(node_id, dead.incarnation))
        delay_s = self.rng.choice((0.05, 0.5, 2.0))
        self.loop.after(delay_s, lambda: self._start(node_id))

    # Callers

    def request(self, operation: Operation) -> None:
        """Send an attempt of an operation through a random entry node."""
        if operation.is_over or operation.attempts >= MOST_ATTEMPTS:
            return
        node = self.nodes[self.rng.choice(self.node_ids)]
        if not node.is_up:
            self.loop.after(0.1, lambda: self.request(operation))
            return
        asks_with_id = operation.mode == 'id' and not self.is_naive
        if asks_with_id and not operation.call_id:
            home = self.nodes[self.rng.choice(self.node_ids)]
            issuer = CallIdIssuer(f'caller-{operation.number}', 1)
            operation.call_id = issuer.issue(
                home.node_id, home.incarnation, home.table.id_epoch
            ).render()
        operation.attempts += 1
        request_id = next(self.request_ids)
        operation.waits_for = operation.attempts
        node.requests[request_id] = (operation, operation.attempts)
        attempt = operation.attempts
        if operation.mode == 'bare-key':
            attempt = 0
        if self.is_naive:
            attempt = 1
        requested = CallRequested(
            request_id=request_id,
            call_id=operation.call_id,
            attempt=attempt,
            organisation=ORGANISATION,
            key_digest=KEY_DIGEST,
            service=SERVICE,
            method='POST',
            path='/',
            headers=(),
            body=operation.body,
            route=self.route,
            remaining_ms=self.rng.choice(DEADLINES_MS),
            tries_left=3,
            hops=0,
            idempotency_key=operation.key,
        )
        node.later(0.003, lambda: node.step_entry(requested))
        if operation.mode != 'plain' and self.rng.random() < 0.1:
            # Impatient: asks again while the first attempt still runs.
            self.loop.after(0.02, lambda: self.request(operation))
        if self.rng.random() < 0.15:
            self.loop.after(
                self.rng.choice((0.004, 0.01, 0.05, 0.3)),
                lambda: self._caller_leaves(node, request_id),
            )

    def _caller_leaves(self, node: Node, request_id: int) -> None:
        """Cut the caller's connection to its entry node."""
        asked = node.requests.pop(request_id, None)
        if asked is None or not node.is_up:
            return
        abandoned = RequestAbandoned(request_id)
        node.later(0.003, lambda: node.step_entry(abandoned))
        self._caller_lost(*asked)

    def _caller_lost(self, operation: Operation, attempt: int) -> None:
        """Have a caller that got no reply ask again, or conclude."""
        if attempt != operation.waits_for or operation.is_over:
            return
        self._unknown(operation)

    def finished(self, node: Node, request_id: int, reply: Reply) -> None:
        """Carry the reply of an entry node to its caller."""
        asked = node.requests.pop(request_id, None)
        if asked is None:
            return
        operation, attempt = asked
        is_awaited = attempt == operation.waits_for and not operation.is_over
        # Who counts attempts says itself that an earlier one is given up.
        if reply.outcome is Outcome.NOT_RUN and (
            is_awaited or operation.mode != 'counted-key'
        ):
            operation.told_not_run = True
        if not is_awaited:
            return
        operation.told.append(reply.outcome)
        if reply.outcome is Outcome.WHOLE and reply.body != operation.answer:
            operation.wrong_answers += 1
        if reply.outcome is Outcome.UNKNOWN:
            self._unknown(operation)
        else:
            operation.is_over = True

    def _unknown(self, operation: Operation) -> None:
        may_ask_again = self.is_naive or operation.mode != 'plain'
        if may_ask_again and operation.attempts < MOST_ATTEMPTS:
            delay_s = self.rng.choice((0.01, 0.1, 1.5))
            self.loop.after(delay_s, lambda: self.request(operation))
            return
        operation.told.append(Outcome.UNKNOWN)
        operation.is_over = True

    # The schedule

    def _schedule(self) -> None:
        modes = ('plain', 'id', 'bare-key', 'counted-key')
        for number in range(CALLS):
            mode = self.rng.choice(modes)
            key = f'key-{number}' if mode.endswith('key') else ''
            operation = Operation(number, mode, key=key)
            self.operations.append(operation)
            at_s = self.rng.choice((0.5, self.rng.uniform(0, 2)))
            self.loop.after(at_s, partial(self.request, operation))
        faults = (
            self.silence,
            self.refuse_beside_open,
            self._kill_any,
            self._drain_any,
            self._pause_any,
            self._log_out,
        )
        for _ in range(self.rng.randint(2, 8)):
            self.loop.after(self.rng.uniform(0, 4), self.rng.choice(faults))

    def _kill_any(self) -> None:
        self._kill(self.rng.choice(self.node_ids))

    def _drain_any(self) -> None:
        node = self.nodes[self.rng.choice(self.node_ids)]
        if node.is_up:
            node.later(0, lambda: node.step_serving(DrainBegan()))
            ends_s = self.rng.uniform(0.5, 3)
            self.loop.after(ends_s, partial(self._kill, node.node_id))

    def _pause_any(self) -> None:
        node = self.nodes[self.rng.choice(self.node_ids)]
        pause_s = self.rng.choice((0.2, 1.0, 3.0))
        node.paused_until_s = self.loop.now_s + pause_s

    def _log_out(self) -> None:
        self.log.is_down = True

        def back() -> None:
            self.log.is_down = False

        self.loop.after(self.rng.uniform(0.2, 2), back)
