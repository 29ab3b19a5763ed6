"""Orders in force, by the operators' log and by what it has lost.

A store that was restored from a copy lacks the newest records. An order that
this node knows stays in force until a record of the new log says otherwise.
"""

from collections.abc import Iterable
from dataclasses import dataclass, replace

from rattanstile.request.ids import ServiceName
from rattanstile.version.fleet_config import RolloutOrder

Orders = tuple[RolloutOrder, ...]


@dataclass(frozen=True, slots=True)
class OrderBook:
    """The orders in force at one position of the log."""

    orders: Orders = ()

    def ordered(self, order: RolloutOrder) -> 'OrderBook':
        """Return the book after one more order; repeated ones change nothing.

        A repeated order keeps the earlier time.
        """
        known = self._of(order.service)
        if known is not None and known.version == order.version:
            began_s = min(known.began_s, order.began_s)
            order = replace(order, began_s=began_s)
        return _sorted((*self.withdrawn(order.service).orders, order))

    def withdrawn(self, service: ServiceName) -> 'OrderBook':
        """Return the book without the order for a service."""
        return OrderBook(
            tuple(each for each in self.orders if each.service != service)
        )

    def later(self, orders: Iterable[RolloutOrder]) -> 'OrderBook':
        """Return the book at a later position of the same log."""
        in_log = _sorted(orders)
        services = {each.service for each in in_log.orders}
        book = OrderBook(
            tuple(each for each in self.orders if each.service in services)
        )
        return book.with_all(in_log.orders)

    def restored(
        self, orders: Iterable[RolloutOrder], news: Iterable[RolloutOrder]
    ) -> 'OrderBook':
        """Return the book after the log was replaced by a copy of it.

        Args:
            orders: Orders of the new log.
            news: Those of them that were written after the copy.
        """
        return _sorted(orders).with_all(self.orders).with_all(news)

    def with_all(self, orders: Iterable[RolloutOrder]) -> 'OrderBook':
        """Return the book after several orders."""
        book = self
        for order in orders:
            book = book.ordered(order)
        return book

    def _of(self, service: ServiceName) -> RolloutOrder | None:
        return next(
            (each for each in self.orders if each.service == service), None
        )


def _sorted(orders: Iterable[RolloutOrder]) -> OrderBook:
    return OrderBook(tuple(sorted(orders, key=lambda each: each.service)))
