"""Usage of services by a run of each route, as nodes report it."""

import unittest

from rattanstile.process.mesh.admission.call_tree import CallAttribution
from rattanstile.process.mesh.admission.service_needs import (
    MAX_KINDS,
    RunKind,
    UsageEstimates,
    add_own_usage,
)
from rattanstile.request.exchange import ServiceUsage

LOOKUP = RunKind('lookup', 'front')
CHECK = RunKind('check', 'back')


def report(estimates, service, calls):
    own = ServiceUsage(service, 1.0)
    return add_own_usage(own, estimates.total_usage(calls))


class ServiceNeedsTest(unittest.TestCase):
    """Reports of nodes, each of which adds what it has learned of others."""

    def test_usage_adds_up_over_the_services_called(self):
        """One run of `lookup` makes two calls of `check`."""
        usage = report(UsageEstimates(), 'front', {CHECK: 2.0})
        self.assertEqual(
            usage, (ServiceUsage('front', 1.0), ServiceUsage('back', 2.0))
        )

    def test_an_apparent_cycle_does_not_grow(self):
        """A few calls on `lookup` were attributed to its own runs.

        On a calm day of the third site the usage grew to 36 runs for each
        request, and requests were shed at a tenth of the capacity.
        """
        estimates = UsageEstimates()
        for second in range(20):
            usage = report(estimates, 'front', {LOOKUP: 1.5})
            estimates.record(float(second), LOOKUP, usage)
        self.assertEqual(
            estimates.usage_of(LOOKUP), (ServiceUsage('front', 1.0),)
        )

    def test_an_idle_target_makes_no_calls(self):
        """Requests without a key come from other processes on the VM too."""
        attribution = CallAttribution()
        for request in range(8):
            attribution.called(request * 0.5, LOOKUP)
            attribution.step(request * 0.5)
        for run in range(8):
            attribution.began(4.0 + run, 'check')
            attribution.step(4.5 + run)
            attribution.ended(4.5 + run, 'check')
        attribution.step(13.0)
        self.assertEqual(attribution.calls_of('check'), {})

    def test_service_that_is_no_longer_used_is_forgotten(self):
        """Requests were shed for a service that they had once called."""
        estimates = UsageEstimates()
        both = (ServiceUsage('front', 1.0), ServiceUsage('back', 2.0))
        estimates.record(0.0, LOOKUP, both)
        for second in range(60):
            estimates.record(float(second), LOOKUP, both[:1])
        self.assertEqual(
            estimates.usage_of(LOOKUP), (ServiceUsage('front', 1.0),)
        )

    def test_routes_that_were_removed_are_forgotten(self):
        """Each version of the configuration has other routes."""
        estimates = UsageEstimates()
        used = (ServiceUsage('front', 1.0),)
        for number in range(20_000):
            kind = RunKind(f'r-{number}', 'front')
            estimates.record(number / 10, kind, used)
        self.assertLessEqual(len(estimates._kinds), MAX_KINDS)
        for second in range(MAX_KINDS):
            estimates.record(3000.0 + second, LOOKUP, used)
        self.assertEqual(len(estimates._kinds), 1)
