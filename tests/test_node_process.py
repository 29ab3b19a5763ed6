"""Tests of a node, its target and the log as separate processes."""

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

TIMEOUT_S = 30
MAX_POLLS = 600
POLL_PERIOD_S = 0.05
ONE_WORKER = msgspec.structs.replace(
    VEDLOTT,
    services=(
        msgspec.structs.replace(
            VEDLOTT.services[1], workers=1, service_time_ms=400
        ),
    ),
)


def http_get(address, path, **headers):
    """Return status, headers and body of a plain HTTP call."""
    request = Request(f'http://{address}{path}', headers=headers)
    try:
        with urlopen(request, timeout=TIMEOUT_S) as response:
            return response.status, response.headers, response.read()
    except HTTPError as error:
        with error:
            return error.code, error.headers, error.read()


def run_command(*arguments):
    """Run the command line; return its exit code and its output."""
    completed = subprocess.run(
        [sys.executable, '-m', 'rattanstile', *arguments],
        capture_output=True,
        text=True,
        timeout=TIMEOUT_S,
    )
    return completed.returncode, completed.stdout + completed.stderr


def wait_until(condition):
    """Poll until a condition holds; fail after `MAX_POLLS` polls."""
    for _ in range(MAX_POLLS):
        if condition():
            return
        time.sleep(POLL_PERIOD_S)
    raise AssertionError('the condition never became true')


def put_in_force(fleet):
    """Plan and confirm the declaration, and wait until the node applies it.

    Return the id of the plan and the result of its confirmation.
    """
    declaration = declaration_of(
        ONE_WORKER, {name: digest_of(name) for name in VEDLOTT.organisations}
    )
    path = Path(fleet.folder) / 'fleet.json'
    path.write_bytes(msgspec.json.encode(declaration))
    code, output = run_command('plan', str(path), '--log', fleet.log_address)
    assert code == 0, output
    plan_id = output.split()[-1]
    confirmation = run_command('confirm', plan_id, '--log', fleet.log_address)
    worker = fleet.workers[0]
    wait_until(lambda: fleet.status(worker)['version'] == 1)
    wait_until(lambda: fleet.status(worker)['admits_keyed_calls'])
    return plan_id, confirmation


class NodeProcessTest(unittest.TestCase):
    """Behaviour that only separate processes show."""

    def test_node_without_a_version_refuses_with_a_reason(self):
        with running_fleet(ONE_WORKER) as fleet:
            fleet.start_all_nodes()
            worker = fleet.workers[0]
            status, headers, body = http_get(
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
                http_get(worker.operator_address, '/metrics')[2],
            )
            self.assertEqual(worker.stats().received, 0)

    def test_sigterm_stops_an_idle_node_with_exit_code_0(self):
        with running_fleet(ONE_WORKER) as fleet:
            fleet.start_all_nodes()
            node = fleet.workers[0].running_node
            self.assertTrue(node.ready.addresses['peer'])
            node.signal(SIGTERM)
            self.assertEqual(node.wait(TIMEOUT_S), 0)

    def test_sigterm_drains_running_call_and_commands_report_results(self):
        with running_fleet(ONE_WORKER) as fleet:
            fleet.start_all_nodes()
            worker = fleet.workers[0]
            plan_id, (code, output) = put_in_force(fleet)
            self.assertEqual(code, 0, output)
            repeated = run_command(
                'confirm', plan_id, '--log', fleet.log_address
            )
            self.assertIn('already', repeated[1])
            with ThreadPoolExecutor(1) as pool:
                running = pool.submit(
                    http_get,
                    worker.caller_address,
                    '/map-quotas/',
                    **{'Authorization': 'Bearer hedmark', 'Trial-Id': 't'},
                )
                wait_until(lambda: worker.stats().received)
                worker.running_node.signal(SIGTERM)
                status, headers, body = running.result(TIMEOUT_S)
            self.assertEqual(status, 200)
            self.assertEqual(headers['Rattanstile-Outcome'], 'whole')
            self.assertTrue(body.startswith(b't '))
            self.assertEqual(worker.running_node.wait(TIMEOUT_S), 0)
            self.assertEqual(worker.stats().key_seen, 0)
