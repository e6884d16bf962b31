"""Responses to prompts: complete, sent once, and without text of other requests.

Faults are failing engines and instances, lost or repeated frames, and stray frames of
other engines or earlier attempts.
"""

import unittest

from attrs import evolve
from hypothesis import strategies as st
from hypothesis.stateful import RuleBasedStateMachine, invariant, rule

from briarrelay_bench.engine_model import answer_text
from briarrelay_core.outcomes import NotRun
from briarrelay_core.ports.caller import CallerGone, ChatRequest
from briarrelay_core.ports.engine import EngineFrame, FrameKind
from properties.simulatedcluster import SimulatedCluster

OUTPUT_TOKENS = 30
BASE_TIMEOUT_S = 12.0
ANSWER_MARGIN_S = 0.1
RELEASE_GRACE_S = 12.0
"""Seconds after the last deadline by which engines must have freed all memory."""

PROMPT_TOKENS = (500, 30_000, 150_000, 500_000)


def make_chat_request(request_id: str, tokens: int, deadline: float) -> ChatRequest:
    """Return a chat request with a prompt of some tokens."""
    return ChatRequest(
        request_id=request_id,
        key="key-ws1",
        model="base",
        prompt_tokens=tokens,
        output_tokens=OUTPUT_TOKENS,
        deadline=deadline,
    )


class NoCapacityTest(unittest.TestCase):
    def test_prompts_that_wait_while_no_engine_works_are_answered(self):
        cluster = SimulatedCluster(instances=1, engines=1)
        cluster.advance(3.5)
        cluster.simulation.engines["e0"].silent = True
        tokens = 150_000
        names = [f"request-{number}" for number in range(8)]
        for name in names:
            deadline = cluster.simulation.now + BASE_TIMEOUT_S + 3 * tokens / 20_000
            request = make_chat_request(name, tokens, deadline)
            cluster.simulation.deliver(cluster.hosts[0], request)
            cluster.advance(0.1)
        cluster.advance(deadline - cluster.simulation.now + ANSWER_MARGIN_S)
        self.assertEqual([n for n in names if not cluster.outcomes.get(n)], [])
        for name in names:
            ((sent, _),) = cluster.outcomes[name]
            outcome = sent.outcome
            if isinstance(outcome, NotRun):
                self.assertTrue(1.0 <= outcome.retry_after < 1_000.0, outcome)


class ResponseMachine(RuleBasedStateMachine):
    """Sends prompts while engines and instances fail and stray frames arrive."""

    def __init__(self):
        super().__init__()
        self.cluster = SimulatedCluster(instances=2, engines=3)
        self.requests = {}

    @rule(tokens=st.sampled_from(PROMPT_TOKENS), instance=st.integers(0, 1))
    def send_prompt(self, tokens, instance):
        host = self.cluster.hosts[instance]
        name = f"request-{len(self.requests):04d}"
        deadline = self.cluster.simulation.now + BASE_TIMEOUT_S + 3 * tokens / 20_000
        request = make_chat_request(name, tokens, deadline)
        self.requests[name] = (request, host)
        self.cluster.simulation.deliver(host, request)

    @rule(seconds=st.sampled_from([0.01, 0.08, 0.3, 1.0, 5.0]))
    def wait(self, seconds):
        self.cluster.advance(seconds)

    @rule(engine=st.integers(0, 2), silent=st.booleans())
    def set_silent(self, engine, silent):
        self.cluster.simulation.engines[f"e{engine}"].silent = silent

    @rule(instance=st.integers(0, 1))
    def restart(self, instance):
        self.cluster.restart(instance)

    @rule(instance=st.integers(0, 1), seconds=st.sampled_from([0.5, 4.0]))
    def pause(self, instance, seconds):
        host = self.cluster.hosts[instance]
        host.paused = True
        self.cluster.advance(seconds)
        self.cluster.simulation.resume(host)

    @rule(
        index=st.integers(0, 10),
        from_first_engine=st.booleans(),
        attempts_behind=st.integers(0, 1),
        seq_offset=st.integers(-1, 1),
        kind=st.sampled_from([FrameKind.TOKEN, FrameKind.END]),
    )
    def deliver_stray_frame(
        self, index, from_first_engine, attempts_behind, seq_offset, kind
    ):
        """Deliver a frame of another engine or an earlier attempt, or a duplicate."""
        active = [
            (host, chat)
            for host in self.cluster.hosts
            for chat in host.core.context.chats.values()
            if chat.engines
        ]
        if not active:
            return
        host, chat = active[index % len(active)]
        others = sorted(set(self.cluster.simulation.engines) - set(chat.engines))
        name = chat.engines[0] if from_first_engine or not others else others[0]
        is_current = attempts_behind == 0 and name in chat.engines
        seq = max(0, chat.next_seq + seq_offset)
        if is_current and (seq >= chat.next_seq or kind is not FrameKind.TOKEN):
            return  # engines do not forge frames of their current attempt
        attempt = chat.attempt - attempts_behind
        frame = EngineFrame(name, chat.id, attempt, seq, kind, "crossed ")
        self.cluster.simulation.deliver(host, frame)

    @rule(engine=st.integers(0, 2), seconds=st.sampled_from([0.02, 0.06, 0.2]))
    def lose_frames(self, engine, seconds):
        host = self.cluster.simulation.engines[f"e{engine}"]
        host.silent = True
        self.cluster.advance(seconds)
        host.silent = False

    @rule(index=st.integers(0, 10))
    def disconnect_caller(self, index):
        if not self.requests:
            return
        name = list(self.requests)[index % len(self.requests)]
        host = self.requests[name][1]
        self.cluster.simulation.deliver(host, CallerGone(name))

    @invariant()
    def responses_match_their_requests(self):
        for name in self.requests:
            expected = answer_text(name, OUTPUT_TOKENS)
            received = "".join(self.cluster.response_texts.get(name, []))
            assert expected.startswith(received), f"{name} received {received!r}"
            for sent, _ in self.cluster.outcomes.get(name, []):
                assert sent.outcome.tag != "done" or received == expected

    def teardown(self):
        for engine in self.cluster.simulation.engines.values():
            engine.silent = False
        now = self.cluster.simulation.now
        deadlines = [request.deadline for request, _ in self.requests.values()]
        last = max([now, *deadlines])
        self.cluster.advance(last - now + RELEASE_GRACE_S)
        self.responses_match_their_requests()
        for name, (_, host) in self.requests.items():
            sent_outcomes = self.cluster.outcomes.get(name, [])
            assert len(sent_outcomes) <= 1, f"{name} has more than one outcome"
            if host.alive:
                assert sent_outcomes, f"{name} has no outcome"
        for engine in self.cluster.simulation.engines.values():
            assert engine.model.reserved_tokens == 0, (
                f"{engine.model.name} still holds memory"
            )


ResponseMachineTest = ResponseMachine.TestCase


class ResponseTest(unittest.TestCase):
    def send_prompt(
        self, cluster: SimulatedCluster, tokens: int, seconds: float = 30.0
    ) -> ChatRequest:
        request = make_chat_request(
            "request-0001", tokens, cluster.simulation.now + seconds
        )
        cluster.simulation.deliver(cluster.hosts[0], request)
        return request

    def outcome(self, cluster: SimulatedCluster):
        return cluster.outcomes["request-0001"][0][0].outcome

    def test_response_continues_on_another_engine_after_engine_fails(self):
        """Text sent before the failure must be neither lost nor repeated."""
        cluster = SimulatedCluster(instances=2, engines=2)
        self.send_prompt(cluster, 20_000)
        cluster.advance(1.03)
        serving = next(
            e for e in cluster.simulation.engines.values() if e.model.reserved_tokens
        )
        serving.silent = True
        cluster.advance(20.0)
        self.assertEqual(self.outcome(cluster).tag, "done")
        text = "".join(cluster.response_texts["request-0001"])
        self.assertEqual(text, answer_text("request-0001", OUTPUT_TOKENS))

    def test_end_frame_before_missing_tokens_is_ignored(self):
        """Ending a response whose token frames were lost would truncate it."""
        cluster = SimulatedCluster(instances=1, engines=1)
        self.send_prompt(cluster, 500)
        cluster.advance(0.15)
        chat = cluster.hosts[0].core.context.chats["request-0001"]
        self.assertGreater(chat.next_seq, 0)
        end = EngineFrame("e0", chat.id, chat.attempt, OUTPUT_TOKENS, FrameKind.END)
        cluster.simulation.deliver(cluster.hosts[0], end)
        self.assertEqual(cluster.outcomes, {})
        cluster.advance(5.0)
        self.assertEqual(self.outcome(cluster).tag, "done")

    def test_prompt_larger_than_memory_of_two_engines_completes(self):
        cluster = SimulatedCluster(instances=2, engines=4)
        self.send_prompt(cluster, 1_000_000, 120.0)
        cluster.advance(100.0)
        self.assertEqual(self.outcome(cluster).tag, "done")

    def test_prompt_too_long_for_any_gang_is_refused_at_once(self):
        cluster = SimulatedCluster(instances=1, engines=2)
        self.send_prompt(cluster, 1_000_000, 120.0)
        self.assertEqual(self.outcome(cluster).reason, "prompt_too_long")

    def test_engine_that_refuses_as_leaving_gets_no_new_requests(self):
        """Engines refuse requests before the instance list shows them as leaving."""
        cluster = SimulatedCluster(instances=2, engines=2)
        cluster.simulation.engines["e0"].model.leaving = True
        self.send_prompt(cluster, 500)
        cluster.simulation.deliver(
            cluster.hosts[0], make_chat_request("r2", 500, cluster.simulation.now + 30)
        )
        cluster.advance(3.0)
        for host in cluster.hosts:
            self.assertEqual(host.core.context.fleet.live_engines(), ["e1"])

    def test_data_centre_without_engines_relays_to_another(self):
        cluster = SimulatedCluster(instances=2, engines=2)
        remote = cluster.hosts[0]
        cluster.simulation.instance_list = tuple(
            evolve(e, data_centre="dc2") if e.name == "i0" else e
            for e in cluster.simulation.instance_list
        )
        cluster.simulation.list_version += 1
        remote.core.identity = evolve(remote.core.identity, data_centre="dc2")
        remote.core.context.identity = remote.core.identity
        remote.core.context.fleet.identity = remote.core.identity
        cluster.advance(3.0)
        self.send_prompt(cluster, 5_000)
        cluster.advance(10.0)
        self.assertEqual(self.outcome(cluster).tag, "done")
        text = "".join(cluster.response_texts["request-0001"])
        self.assertEqual(text, answer_text("request-0001", OUTPUT_TOKENS))
