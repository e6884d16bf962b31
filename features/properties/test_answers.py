"""Answers: own and whole, whatever order frames, deaths and silences come in."""

import unittest

from attrs import evolve
from hypothesis import strategies as st
from hypothesis.stateful import RuleBasedStateMachine, invariant, rule

from briarrelay_bench.engine_model import answer_text
from briarrelay_core.ports.caller import CallerGone, ChatRequest
from briarrelay_core.ports.engine import EngineFrame, FrameKind
from properties.worlds import SmallWorld

TOKENS = 30
CHAT_S = 12.0
CLOSE_S = 0.1
GRACE_S = 12.0
"""Seconds past the last deadline after which no engine may hold memory."""

LENGTHS = (500, 30_000, 150_000, 500_000)


def chat(request_id: str, tokens: int, deadline: float) -> ChatRequest:
    """Return a prompt."""
    return ChatRequest(
        request_id=request_id,
        key="key-ws1",
        model="base",
        prompt_tokens=tokens,
        output_tokens=TOKENS,
        deadline=deadline,
    )


class AnswerMachine(RuleBasedStateMachine):
    """Prompts, faults of engines and instances, and frames out of nowhere."""

    def __init__(self):
        super().__init__()
        self.small = SmallWorld(instances=2, engines=3)
        self.requests = {}

    @rule(tokens=st.sampled_from(LENGTHS), at=st.integers(0, 1))
    def ask(self, tokens, at):
        host = self.small.hosts[at]
        name = f"request-{len(self.requests):04d}"
        deadline = self.small.world.now + CHAT_S + 3 * tokens / 20_000
        request = chat(name, tokens, deadline)
        self.requests[name] = (request, host)
        self.small.world.tell(host, request)

    @rule(seconds=st.sampled_from([0.01, 0.08, 0.3, 1.0, 5.0]))
    def wait(self, seconds):
        self.small.run(seconds)

    @rule(engine=st.integers(0, 2), silent=st.booleans())
    def silence(self, engine, silent):
        self.small.world.engines[f"e{engine}"].silent = silent

    @rule(at=st.integers(0, 1))
    def restart(self, at):
        self.small.restart(at)

    @rule(at=st.integers(0, 1), seconds=st.sampled_from([0.5, 4.0]))
    def pause(self, at, seconds):
        host = self.small.hosts[at]
        host.paused = True
        self.small.run(seconds)
        self.small.world.wake(host)

    @rule(
        pick=st.integers(0, 10),
        from_lead=st.booleans(),
        older=st.integers(0, 1),
        ahead=st.integers(-1, 1),
        kind=st.sampled_from([FrameKind.TOKEN, FrameKind.END]),
    )
    def crossed_frame(self, pick, from_lead, older, ahead, kind):
        """A frame of another request or attempt, or one that comes twice."""
        active = [
            (host, chat)
            for host in self.small.hosts
            for chat in host.core.context.chats.values()
            if chat.engines
        ]
        if not active:
            return
        host, chat = active[pick % len(active)]
        others = sorted(set(self.small.world.engines) - set(chat.engines))
        name = chat.engines[0] if from_lead or not others else others[0]
        is_own = older == 0 and name in chat.engines
        seq = max(0, chat.next_seq + ahead)
        if is_own and (seq >= chat.next_seq or kind is not FrameKind.TOKEN):
            return  # an engine does not lie about its own attempt
        attempt = chat.attempt - older
        frame = EngineFrame(name, chat.id, attempt, seq, kind, "crossed ")
        self.small.world.tell(host, frame)

    @rule(engine=st.integers(0, 2), seconds=st.sampled_from([0.02, 0.06, 0.2]))
    def lose_frames(self, engine, seconds):
        host = self.small.world.engines[f"e{engine}"]
        host.silent = True
        self.small.run(seconds)
        host.silent = False

    @rule(pick=st.integers(0, 10))
    def caller_leaves(self, pick):
        if not self.requests:
            return
        name = list(self.requests)[pick % len(self.requests)]
        host = self.requests[name][1]
        self.small.world.tell(host, CallerGone(name))

    @invariant()
    def answers_are_own_and_whole(self):
        for name in self.requests:
            expected = answer_text(name, TOKENS)
            given = "".join(self.small.texts.get(name, []))
            assert expected.startswith(given), f"{name} got {given!r}"
            for finish, _ in self.small.answers.get(name, []):
                assert finish.outcome.tag != "done" or given == expected

    def teardown(self):
        for engine in self.small.world.engines.values():
            engine.silent = False
        now = self.small.world.now
        deadlines = [request.deadline for request, _ in self.requests.values()]
        last = max([now, *deadlines])
        self.small.run(last - now + GRACE_S)
        self.answers_are_own_and_whole()
        for name, (_, host) in self.requests.items():
            given = self.small.answers.get(name, [])
            assert len(given) <= 1, f"{name} was answered twice"
            if host.alive:
                assert given, f"{name} has no answer"
        for engine in self.small.world.engines.values():
            assert engine.model.held == 0, f"{engine.model.name} holds memory"


AnswerMachineTest = AnswerMachine.TestCase


class AnswerTest(unittest.TestCase):
    def ask(self, small: SmallWorld, tokens: int, seconds: float = 30.0) -> ChatRequest:
        request = chat("request-0001", tokens, small.world.now + seconds)
        small.world.tell(small.hosts[0], request)
        return request

    def outcome(self, small: SmallWorld):
        return small.answers["request-0001"][0][0].outcome

    def test_an_engine_that_dies_in_mid_answer_is_continued_elsewhere(self):
        small = SmallWorld(instances=2, engines=2)
        self.ask(small, 20_000)
        small.run(1.03)
        busy = next(e for e in small.world.engines.values() if e.model.held)
        busy.silent = True
        small.run(20.0)
        self.assertEqual(self.outcome(small).tag, "done")
        text = "".join(small.texts["request-0001"])
        self.assertEqual(text, answer_text("request-0001", TOKENS))

    def test_an_end_that_comes_before_lost_tokens_does_not_count(self):
        small = SmallWorld(instances=1, engines=1)
        self.ask(small, 500)
        small.run(0.15)
        chat = small.hosts[0].core.context.chats["request-0001"]
        self.assertGreater(chat.next_seq, 0)
        end = EngineFrame("e0", chat.id, chat.attempt, TOKENS, FrameKind.END)
        small.world.tell(small.hosts[0], end)
        self.assertEqual(small.answers, {})
        small.run(5.0)
        self.assertEqual(self.outcome(small).tag, "done")

    def test_a_prompt_of_more_than_two_memories_runs(self):
        small = SmallWorld(instances=2, engines=4)
        self.ask(small, 1_000_000, 120.0)
        small.run(100.0)
        self.assertEqual(self.outcome(small).tag, "done")

    def test_a_prompt_beyond_every_gang_is_refused_at_once(self):
        small = SmallWorld(instances=1, engines=2)
        self.ask(small, 1_000_000, 120.0)
        self.assertEqual(self.outcome(small).reason, "prompt_too_long")

    def test_a_leaving_engine_gets_nothing_new_after_it_refused_once(self):
        small = SmallWorld(instances=2, engines=2)
        small.world.engines["e0"].model.leaving = True
        self.ask(small, 500)
        small.world.tell(small.hosts[0], chat("r2", 500, small.world.now + 30))
        small.run(3.0)
        for host in small.hosts:
            self.assertEqual(host.core.context.fleet.live_engines(), ["e1"])

    def test_without_engines_of_its_own_a_data_centre_hands_over(self):
        small = SmallWorld(instances=2, engines=2)
        away = small.hosts[0]
        small.world.listed = tuple(
            evolve(e, data_centre="dc2") if e.name == "i0" else e
            for e in small.world.listed
        )
        small.world.list_version += 1
        away.core.identity = evolve(away.core.identity, data_centre="dc2")
        away.core.context.identity = away.core.identity
        away.core.context.fleet.identity = away.core.identity
        small.run(3.0)
        self.ask(small, 5_000)
        small.run(10.0)
        self.assertEqual(self.outcome(small).tag, "done")
        text = "".join(small.texts["request-0001"])
        self.assertEqual(text, answer_text("request-0001", TOKENS))
