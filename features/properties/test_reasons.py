"""Every refusal reason has a remedy, and every reason has a counter from the start."""

import unittest

from briarrelay_core.outcomes import NotRun
from briarrelay_core.reasons import RefusalReason, RetryReason
from briarrelay_daemon.observe import Counters
from briarrelay_daemon.settings import Address, Settings


def make_settings() -> Settings:
    """Return settings whose addresses are all placeholders."""
    placeholder = Address("127.0.0.1", 1)
    return Settings(
        name="entry-1",
        data_centre="dc1",
        listen=placeholder,
        peer_listen=placeholder,
        log=placeholder,
        instance_list=placeholder,
        weight_store=placeholder,
    )


class ReasonsTest(unittest.TestCase):
    def test_each_refusal_message_contains_a_remedy(self):
        for reason in RefusalReason:
            message = NotRun(reason, detail="given 'x'.").message
            self.assertTrue(message.startswith(f"{reason.value}: given 'x'. "))
            self.assertGreater(len(reason.remedy.split()), 3)
            self.assertIn(reason.status // 100, (4, 5))

    def test_each_reason_has_a_counter_that_starts_at_zero(self):
        totals = Counters(make_settings()).totals
        for reason in RefusalReason:
            self.assertEqual(totals[f"refused.{reason.value}"], 0)
        for reason in RetryReason:
            self.assertEqual(totals[f"retried.{reason.value}"], 0)
