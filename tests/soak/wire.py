"""A loopback proxy whose connections can be harmed."""

import asyncio
import contextlib
import threading
from enum import Enum, unique

CHUNK_BYTES = 65536
DELAY_S = 0.15


@unique
class Harm(Enum):
    """What happens to the bytes of a wire."""

    NONE = 'none'
    DELAYED = 'delayed'
    CUT_THERE = 'cut-there'
    CUT_BACK = 'cut-back'
    SILENT = 'silent'


class Wire:
    """One listening address that leads to another.

    Attributes:
        harm: Applies to open connections too.
        target: Where it leads.
    """

    def __init__(self, listen, target):
        """Take both as HOST:PORT."""
        self.harm = Harm.NONE
        self.listen = listen
        self.target = target
        self._writers = set()

    async def serve(self):
        """Begin to accept connections."""
        host, _, port = self.listen.rpartition(':')
        return await asyncio.start_server(self._accepted, host, int(port))

    def reset(self):
        """Drop all open connections at once."""
        for writer in tuple(self._writers):
            writer.transport.abort()

    async def _accepted(self, reader, writer):
        host, _, port = self.target.rpartition(':')
        try:
            there, back = await asyncio.open_connection(host, int(port))
        except OSError:
            writer.transport.abort()
            return
        self._writers.update((writer, back))
        with contextlib.suppress(asyncio.CancelledError):
            # The end of the soak ends what is still open.
            await asyncio.gather(
                self._pump(reader, back, Harm.CUT_THERE),
                self._pump(there, writer, Harm.CUT_BACK),
            )
        self._writers.difference_update((writer, back))

    async def _pump(self, reader, writer, cut):
        try:
            while received := await reader.read(CHUNK_BYTES):
                if self.harm in {cut, Harm.SILENT}:
                    # Lost for good: the connection stays open and silent.
                    continue
                if self.harm is Harm.DELAYED:
                    await asyncio.sleep(DELAY_S)
                writer.write(received)
                await writer.drain()
            writer.close()
        except OSError:
            writer.transport.abort()


class Wires:
    """All proxies, served by one thread of their own."""

    def __init__(self):
        """Begin without wires; `start` serves those that were added."""
        self.by_name = {}
        self._loop = asyncio.new_event_loop()
        self._thread = threading.Thread(target=self._loop.run_forever)

    def add(self, name, listen, target):
        """Lead an address to another."""
        self.by_name[name] = Wire(listen, target)

    def start(self):
        """Accept connections."""
        self._thread.start()
        for wire in self.by_name.values():
            asyncio.run_coroutine_threadsafe(wire.serve(), self._loop).result()

    def reset(self, name):
        """Drop the open connections of a wire."""
        self._loop.call_soon_threadsafe(self.by_name[name].reset)

    def heal(self):
        """Harm nothing any more; silent connections stay silent."""
        for wire in self.by_name.values():
            wire.harm = Harm.NONE

    def stop(self):
        """End the thread."""
        for wire in self.by_name.values():
            self._loop.call_soon_threadsafe(wire.reset)
        asyncio.run_coroutine_threadsafe(_settle(), self._loop).result()
        self._loop.call_soon_threadsafe(self._loop.stop)
        self._thread.join()
        self._loop.close()


async def _settle():
    """Let the connections that were dropped end."""
    own = asyncio.current_task()
    others = [task for task in asyncio.all_tasks() if task is not own]
    for task in others:
        task.cancel()
    await asyncio.gather(*others, return_exceptions=True)
