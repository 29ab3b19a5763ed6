"""Loopback TCP proxies that inject network faults."""

import asyncio
import contextlib
import threading
from enum import Enum, unique

MAX_CHUNK_BYTES = 65536
DELAY_S = 0.15


@unique
class ProxyFault(Enum):
    """What a proxy does to the bytes that it forwards."""

    NONE = 'none'
    DELAYED = 'delayed'
    DROP_TO_DESTINATION = 'cut-there'
    DROP_FROM_DESTINATION = 'cut-back'
    DROP_BOTH = 'silent'


class Proxy:
    """Forwards connections from a listening address to a destination.

    Attributes:
        active_fault: Fault in effect, also on connections already open.
        destination_address: Where connections are forwarded, as HOST:PORT.
    """

    def __init__(self, listen_address, destination_address):
        """Create a proxy without a fault; both addresses are HOST:PORT."""
        self.active_fault = ProxyFault.NONE
        self.listen_address = listen_address
        self.destination_address = destination_address
        self._writers = set()

    async def serve(self):
        """Start to accept connections; return the server."""
        host, _, port = self.listen_address.rpartition(':')
        return await asyncio.start_server(
            self._forward_connection, host, int(port)
        )

    def reset(self):
        """Abort all open connections at once."""
        for writer in tuple(self._writers):
            writer.transport.abort()

    async def _forward_connection(self, reader, writer):
        host, _, port = self.destination_address.rpartition(':')
        try:
            (
                remote_reader,
                remote_writer,
            ) = await asyncio.open_connection(host, int(port))
        except OSError:
            writer.transport.abort()
            return
        self._writers.update((writer, remote_writer))
        with contextlib.suppress(asyncio.CancelledError):
            # The end of the soak cancels the connections that are still open.
            await asyncio.gather(
                self._pump(
                    reader, remote_writer, ProxyFault.DROP_TO_DESTINATION
                ),
                self._pump(
                    remote_reader, writer, ProxyFault.DROP_FROM_DESTINATION
                ),
            )
        self._writers.difference_update((writer, remote_writer))

    async def _pump(self, reader, writer, dropping_fault):
        try:
            while received := await reader.read(MAX_CHUNK_BYTES):
                if self.active_fault in {dropping_fault, ProxyFault.DROP_BOTH}:
                    # Drop the bytes for good; the connection stays open.
                    continue
                if self.active_fault is ProxyFault.DELAYED:
                    await asyncio.sleep(DELAY_S)
                writer.write(received)
                await writer.drain()
            writer.close()
        except OSError:
            writer.transport.abort()


class Proxies:
    """All proxies of a run, served by one thread with its own event loop."""

    def __init__(self):
        """Start without proxies; `start` serves those added before."""
        self.by_name = {}
        self._loop = asyncio.new_event_loop()
        self._thread = threading.Thread(target=self._loop.run_forever)
        self._servers = []

    def add(self, name, listen_address, destination_address):
        """Add a proxy; both addresses are HOST:PORT."""
        self.by_name[name] = Proxy(listen_address, destination_address)

    def start(self):
        """Accept connections on all proxies, and no longer on earlier ones.

        Raises:
            OSError: Another process has taken a port.
        """
        if not self._thread.is_alive():
            self._thread.start()
        while self._servers:
            self._loop.call_soon_threadsafe(self._servers.pop().close)
        for proxy in self.by_name.values():
            serving = asyncio.run_coroutine_threadsafe(
                proxy.serve(), self._loop
            )
            self._servers.append(serving.result())

    def reset(self, name):
        """Drop the open connections of a proxy."""
        self._loop.call_soon_threadsafe(self.by_name[name].reset)

    def clear_faults(self):
        """Clear the faults of all proxies.

        Bytes that were dropped are not sent again, so a connection may stay
        silent.
        """
        for proxy in self.by_name.values():
            proxy.active_fault = ProxyFault.NONE

    def stop(self):
        """Abort all connections and stop the thread."""
        for proxy in self.by_name.values():
            self._loop.call_soon_threadsafe(proxy.reset)
        asyncio.run_coroutine_threadsafe(
            _cancel_connections(), self._loop
        ).result()
        self._loop.call_soon_threadsafe(self._loop.stop)
        self._thread.join()
        self._loop.close()


async def _cancel_connections():
    """Cancel the tasks of the connections and wait until they end."""
    this_task = asyncio.current_task()
    others = [task for task in asyncio.all_tasks() if task is not this_task]
    for task in others:
        task.cancel()
    await asyncio.gather(*others, return_exceptions=True)
