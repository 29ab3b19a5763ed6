"""A node, its target and the log as processes."""

import json
import subprocess
import sys
import time
import unittest
from concurrent.futures import ThreadPoolExecutor
from pathlib import Path
from signal import SIGTERM
from urllib.error import HTTPError
from urllib.request import Request, urlopen

import msgspec

from rattanstile.trial.deployments import VEDLOTT, declaration_of
from rattanstile.trial.fleet import running_fleet
from rattanstile.version.keys import digest_of

WAIT_S = 30
TRIES = 600
PAUSE_S = 0.05
ONE_WORKER = msgspec.structs.replace(
    VEDLOTT,
    services=(
        msgspec.structs.replace(
            VEDLOTT.services[1], workers=1, service_time_ms=400
        ),
    ),
)


def ask(address, path, **headers):
    """Return status, outcome and body of a plain HTTP call."""
    request = Request(f'http://{address}{path}', headers=headers)
    try:
        with urlopen(request, timeout=WAIT_S) as answer:
            return answer.status, answer.headers, answer.read()
    except HTTPError as error:
        with error:
            return error.code, error.headers, error.read()


def command(*arguments):
    """Run the command line; return its exit code and what it printed."""
    done = subprocess.run(
        [sys.executable, '-m', 'rattanstile', *arguments],
        capture_output=True,
        text=True,
        timeout=WAIT_S,
    )
    return done.returncode, done.stdout + done.stderr


def wait_until(is_so):
    """Ask again until it is so; give up after some hundred times."""
    for _ in range(TRIES):
        if is_so():
            return
        time.sleep(PAUSE_S)
    raise AssertionError('it never became so')


def put_in_force(fleet):
    """Plan and confirm the declaration, and wait for the node."""
    declared = declaration_of(
        ONE_WORKER, {name: digest_of(name) for name in VEDLOTT.organisations}
    )
    path = Path(fleet.folder) / 'fleet.json'
    path.write_bytes(msgspec.json.encode(declared))
    code, printed = command('plan', str(path), '--log', fleet.log_address)
    assert code == 0, printed
    plan_id = printed.split()[-1]
    confirmed = command('confirm', plan_id, '--log', fleet.log_address)
    worker = fleet.workers[0]
    wait_until(lambda: fleet.status(worker)['version'] == 1)
    wait_until(lambda: fleet.status(worker)['admits_keyed_calls'])
    return plan_id, confirmed


class NodeProcessTest(unittest.TestCase):
    """What only whole processes show."""

    def test_node_without_a_version_refuses_and_says_why(self):
        with running_fleet(ONE_WORKER) as fleet:
            fleet.start_all_nodes()
            worker = fleet.workers[0]
            status, headers, body = ask(
                worker.caller_address,
                '/map-quotas/',
                Authorization='Bearer x',
            )
            self.assertEqual(status, 503)
            self.assertEqual(headers['Rattanstile-Outcome'], 'not-run')
            self.assertEqual(json.loads(body)['reason'], 'not-verified')
            self.assertEqual(fleet.status(worker)['version'], 0)
            self.assertIn(
                b'rattanstile.calls',
                ask(worker.operator_address, '/metrics')[2],
            )
            self.assertEqual(worker.stats().received, 0)

    def test_sigterm_ends_an_idle_node_with_success(self):
        with running_fleet(ONE_WORKER) as fleet:
            fleet.start_all_nodes()
            node = fleet.workers[0].running_node
            self.assertTrue(node.ready.addresses['peer'])
            node.signal(SIGTERM)
            self.assertEqual(node.wait(WAIT_S), 0)

    def test_sigterm_cuts_no_call_and_commands_tell_what_they_did(self):
        with running_fleet(ONE_WORKER) as fleet:
            fleet.start_all_nodes()
            worker = fleet.workers[0]
            plan_id, (code, printed) = put_in_force(fleet)
            self.assertEqual(code, 0, printed)
            again = command('confirm', plan_id, '--log', fleet.log_address)
            self.assertIn('already', again[1])
            with ThreadPoolExecutor(1) as pool:
                running = pool.submit(
                    ask,
                    worker.caller_address,
                    '/map-quotas/',
                    **{'Authorization': 'Bearer hedmark', 'Trial-Id': 't'},
                )
                wait_until(lambda: worker.stats().received)
                worker.running_node.signal(SIGTERM)
                status, headers, body = running.result(WAIT_S)
            self.assertEqual(status, 200)
            self.assertEqual(headers['Rattanstile-Outcome'], 'whole')
            self.assertTrue(body.startswith(b't '))
            self.assertEqual(worker.running_node.wait(WAIT_S), 0)
            self.assertEqual(worker.stats().key_seen, 0)
