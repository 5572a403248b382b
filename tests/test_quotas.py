"""Tests of the quotas of client accounts, over all instances of a fleet."""

import os

import attrs
import pytest

import quota_simulation
import test_slot_allocator as slot_tests
from carobhook.coordination import quota_counter, quota_reserve, refusals
from carobhook.protocol import quota_messages
from carobhook.state import allocation, client_accounts, codes, ids, routing
from carobhook.transport import refusal_responses

HISTORIES = int(os.environ.get("CAROBHOOK_HISTORIES", "200"))
QUOTA = client_accounts.Quota(20.0, 10.0)
STEADY = {"a": (19.5, None)}
FLOOD = {"a": (100.0, None)}


def fleet(seed=0, quota=QUOTA, **others):
    """Return a fleet whose counters have just begun to grant tokens."""
    result = quota_simulation.Fleet(seed, {"a": quota, **others})
    advance(result, {}, 2.0)
    return result


def advance(simulation, load, seconds):
    """Advance a simulation under a load."""
    for _ in range(round(seconds * 10)):
        simulation.advance(load)


def counter_of(simulation):
    """Return the instance that counts account a."""
    group = quota_counter.group_of("a")
    return next(
        instance
        for instance in simulation.instances.values()
        if instance.quotas._counters[group].is_counter
    )


def runs_between(simulation, begin_s, end_s):
    """Return the requests of account a that ran between two times before now."""
    now = simulation.clock.seconds()
    return sum(now - begin_s < at <= now - end_s for at in simulation.runs["a"])


class TestSum:
    """Requests of one account, summed over all instances."""

    def test_random_histories_keep_the_bound(self):
        """No window has more, with lost, late, split, frozen, stopped and new instances."""
        for seed in range(HISTORIES):
            assert quota_simulation.History(seed).play() <= 0, seed


class TestUse:
    """Requests of accounts that stay within their quotas."""

    @pytest.mark.parametrize(("rate", "burst"), [(20, 10), (50, 0), (300, 300)])
    def test_steady_account_gets_its_quota(self, rate, burst):
        """It gets 0.98 of its requests through, sent through one instance or all in turn."""
        simulation = fleet(quota=client_accounts.Quota(float(rate), float(burst)))
        for second in range(30):
            advance(simulation, {"a": (0.98 * rate, None if second % 2 else ["i0"])}, 1.0)
        assert len(simulation.runs["a"]) >= 0.98 * simulation.count

    def test_burst_is_granted_at_once(self):
        """Requests within the burst run although their dispatchers held no tokens."""
        simulation = fleet(quota=client_accounts.Quota(1.0, 50.0))
        advance(simulation, {}, 50.0)
        advance(simulation, {"a": (300.0, ["i0"])}, 0.1)
        advance(simulation, {}, 0.3)
        assert not simulation.refused

    def test_usual_use_seldom_waits(self):
        """A dispatcher that has tokens admits requests without asking."""
        simulation = fleet(quota=client_accounts.Quota(100.0, 100.0))
        advance(simulation, {"a": (62.0, None)}, 20.0)
        waited = sum(i.quotas.figures.waited for i in simulation.instances.values())
        assert waited <= 0.1 * simulation.count

    def test_flood_leaves_other_accounts_alone(self):
        """It is refused at once, with times to return that differ."""
        simulation = fleet(b=QUOTA)
        advance(simulation, {"a": (180.0, None), "b": (12.0, None)}, 10.0)
        assert {account for _, account, _ in simulation.refused} == {"a"}
        times = {round(refusal.retry_after_s, 3) for _, _, refusal in simulation.refused}
        assert len(times) > len(simulation.refused) / 4
        assert max(times) > 2.0


class TestFailures:
    """Instances that fail, and links between them."""

    def check(self, simulation):
        """Check that the account got no more than the bound."""
        assert simulation.excess("a", QUOTA) <= 0

    def test_counter_stops(self):
        """Dispatchers admit half of the rate, then get tokens from another instance."""
        simulation = fleet()
        advance(simulation, FLOOD, 5.0)
        counter_of(simulation).stopped = True
        advance(simulation, FLOOD, 6.0)
        assert runs_between(simulation, 5.5, 4.0) >= 0.25 * 1.5 * QUOTA.rate_per_s
        assert runs_between(simulation, 2.0, 0.0) >= 0.7 * 2.0 * QUOTA.rate_per_s
        self.check(simulation)

    def test_frozen_counter_comes_back(self):
        """Its tokens from before are gone, as another instance granted some meanwhile."""
        simulation = fleet()
        counter_of(simulation).frozen_until = simulation.clock.seconds() + 3.5
        advance(simulation, FLOOD, 10.0)
        self.check(simulation)

    def test_counter_taken_for_dead_by_some(self):
        """Instances that see it and those that do not share the rate."""
        simulation = fleet()
        counter = counter_of(simulation).name
        names = list(simulation.instances)
        simulation.cut = {(counter, name) for name in names[::2] if name != counter}
        advance(simulation, FLOOD, 12.0)
        self.check(simulation)

    def test_both_parts_of_a_split_fleet_get_their_share(self):
        """The parts have a counter each, and together no more than the quota."""
        simulation = fleet()
        names = list(simulation.instances)
        simulation.cut = {
            (a, b) for a in names for b in names if (a in names[:2]) != (b in names[:2])
        }
        advance(simulation, FLOOD, 12.0)
        assert runs_between(simulation, 5.0, 0.0) >= 0.8 * 5.0 * QUOTA.rate_per_s
        simulation.cut = set()
        advance(simulation, FLOOD, 6.0)
        self.check(simulation)

    def test_answers_do_not_arrive(self):
        """The counter leaves a part of the rate to dispatchers that admit by themselves."""
        simulation = fleet()
        advance(simulation, FLOOD, 3.0)
        counter = counter_of(simulation)
        deliver = simulation.deliver

        def deliver_others(sender, to, message):
            is_lost = sender == counter.name and to in ("i0", "i1")
            if not (is_lost and isinstance(message, quota_messages.QuotaGrant)):
                deliver(sender, to, message)

        simulation.deliver = deliver_others
        advance(simulation, FLOOD, 10.0)
        self.check(simulation)

    def test_dispatcher_that_restarts_leaves_no_tokens_held(self):
        """What its former run held does not reduce what others can get."""
        simulation = fleet()
        advance(simulation, STEADY, 3.0)
        instance = next(
            i for i in simulation.instances.values() if i is not counter_of(simulation)
        )
        simulation.restart = quota_simulation.History.restart.__get__(simulation)
        simulation.restart(instance)
        advance(simulation, STEADY, 0.5)
        simulation.restart(instance)
        advance(simulation, STEADY, 5.0)
        before = len(simulation.refused)
        advance(simulation, {"a": (15.0, None)}, 10.0)
        assert len(simulation.refused) == before
        self.check(simulation)

    def test_lower_quota_holds_at_once(self):
        """Tokens beyond the new quota are gone from the bucket and the reserves."""
        simulation = fleet(quota=client_accounts.Quota(100.0, 200.0))
        advance(simulation, {"a": (60.0, None)}, 5.0)
        new = {"a": QUOTA}
        for instance in simulation.instances.values():
            instance.quotas.update_config(quota_simulation.config(2, new))
        simulation.runs["a"].clear()
        advance(simulation, FLOOD, 10.0)
        self.check(simulation)

    def test_quota_that_the_counter_does_not_know_yet(self):
        """Requests wait for no answer that never comes."""
        simulation = fleet()
        counter_of(simulation).quotas.update_config(quota_simulation.config(2, {"b": QUOTA}))
        advance(simulation, STEADY, 3.0)
        advance(simulation, {}, 0.5)
        assert len(simulation.refused) + len(simulation.runs["a"]) == simulation.count

    def test_no_quota_costs_nothing(self):
        """Without quotas, no message is sent and every request is admitted."""
        simulation = quota_simulation.Fleet(0, {})
        sent = []
        for instance in simulation.instances.values():
            instance.quotas._send = lambda *args: sent.append(args)
        simulation.runs["a"] = []
        advance(simulation, FLOOD, 1.0)
        assert len(simulation.runs["a"]) == simulation.count > 0
        assert not sent


class TestReserve:
    """Tokens at one instance."""

    def setup_method(self):
        """Create a reserve that got two tokens."""
        self.reserve = quota_reserve.QuotaReserve(quota_simulation.BOUNDS)
        self.reserve.set_quotas({"a": QUOTA})
        self.reserve.set_weight(1.0, 1.0)
        assert self.reserve.submit("r1", "a", 0.0) is None
        self.group = quota_counter.group_of("a")
        self.request = self.send(0.0)
        self.answer(self.request.sequence, 2)

    def send(self, now):
        """Return the request that is sent now."""
        return self.reserve.next_requests({self.group: "c"}, now)[0][1]

    def answer(self, sequence, tokens):
        """Answer a request; return the decisions."""
        entry = quota_messages.QuotaAnswer("a", tokens, 0.0)
        grant = quota_messages.QuotaGrant(self.group, sequence, False, (entry,))
        return self.reserve.handle_grant("c", grant, 0.1)

    def test_token_of_a_refused_request_is_used_again(self):
        """A request that does not run for another reason does not count."""
        self.reserve.withdraw("r1")
        assert all(self.reserve.submit(r, "a", 0.2) for r in ("r2", "r3"))
        assert self.reserve.submit("r4", "a", 0.2) is None

    def test_late_answer_is_ignored(self):
        """The counter takes its tokens as lost once a further request does not name them."""
        request = self.send(0.3)
        self.reserve.advance(0.3 + quota_reserve.TIMEOUT_S)
        repeated = self.send(0.7)
        assert repeated.entries[0].held == 2
        assert self.answer(request.sequence, 5) == []
        self.answer(repeated.sequence, 0)
        self.reserve.submit("r2", "a", 0.7)
        assert self.reserve.submit("r3", "a", 0.7) is None


class TestRefusals:
    """Refusals that reach a client."""

    def test_request_beyond_the_quota_is_refused_as_not_run(self):
        """The dispatcher refuses it with code 1063, but neither a retry nor other requests."""
        deployment = slot_tests.Deployment("a", "b", slots=200)
        quota = client_accounts.Quota(2.0, 3.0)
        for allocator in deployment.allocators.values():
            base = allocator._catalog.config
            table = quota_simulation.config(2, {"acc": quota}).accounts
            allocator._catalog.replace_config_if_newer(
                routing.RoutingConfig(2, (), base.services, accounts=table)
            )
            allocator.update_servers()
        for _ in range(40):
            deployment.clock.advance(0.1)
            for name, membership_table in deployment.memberships.items():
                for other, allocator in deployment.allocators.items():
                    state = attrs.evolve(
                        slot_tests.member(other), quota_counters=allocator.quota_counters
                    )
                    membership_table.record_heartbeat(state, deployment.clock.seconds())
                deployment.allocators[name].tick()
        decisions, now = [], deployment.clock.seconds()

        def request(number, account, repeat=False):
            asked = allocation.SlotRequest(
                ids.RequestId(f"a-{number}"),
                slot_tests.SERVICE,
                "route",
                None,
                1,
                now + 1.0,
                now + 5.0,
                repeat=repeat,
                account=account,
            )
            allocator = deployment.allocators["a"]
            allocator.request_slot(asked, slot_tests.NORTH).addCallback(decisions.append)

        for number in range(6):
            request(number, "acc")
        request(6, "acc", repeat=True)
        request(7, None)
        refused = [d for d in decisions if isinstance(d, allocation.SlotRefusal)]
        assert len(decisions) == 8
        assert [r.code for r in refused] == [codes.Code.QUOTA_EXCEEDED] * 3
        assert "account=acc" in refused[0].detail

    def test_response_names_the_time_to_return(self):
        """It has status 429 and Retry-After; 502 replaces 429 if the request may have run."""
        code = codes.Code.QUOTA_EXCEEDED
        response = refusal_responses.refusal_response(refusals.Refusal(code, False, 1.25))
        assert (response.status, response.reason) == (429, b"Too Many Requests")
        assert (b"Retry-After", b"1.250") in response.headers
        response = refusal_responses.refusal_response(refusals.Refusal(code, True, 1.25))
        assert response.status == 502


class TestCounter:
    """Tokens at the counter; the random histories leave more room than these terms need."""

    def granted(self, alone_s=0.0, held=0):
        """Return the tokens of 20 s under a flood by two instances.

        Args:
            alone_s: Seconds for which one of them says that it admits by itself.
            held: Tokens that each says it holds.
        """
        counter = quota_counter.QuotaCounter(quota_simulation.BOUNDS)
        counter.set_quotas({"a": QUOTA})
        for step in range(200):
            now = step * 0.1
            counter.update(True, 1.0, now)
            for name in ("i0", "i1"):
                is_alone = name == "i0" and now >= 20.0 - alone_s
                entry = quota_messages.QuotaEntry("a", 9, 0, held, 0)
                request = quota_messages.QuotaRequest(0, step, 0.5, is_alone, True, (entry,))
                counter.answer(name, request, now)
        return counter.granted_count

    def test_held_tokens_leave_no_room_for_others(self):
        """Tokens in queues and reserves could otherwise run in one window with later ones."""
        assert self.granted() >= 18 * QUOTA.rate_per_s
        capacity = quota_simulation.BOUNDS.capacity(QUOTA)
        assert self.granted(held=round(capacity)) == 0

    def test_rate_of_instances_that_admit_by_themselves_is_left_to_them(self):
        """Half of their part of the rate would otherwise come in addition to the whole."""
        lost = self.granted() - self.granted(alone_s=10.0)
        assert abs(lost - 10.0 * QUOTA.rate_per_s * 0.25) <= 5
