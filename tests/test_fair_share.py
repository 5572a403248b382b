"""Tests of carobhook.coordination.fair_share, and of the dispatcher's order with it."""

import hashlib
import random

import attrs
import pytest
from twisted.internet import task

import test_slot_allocator
from carobhook.coordination import (
    catalog,
    dispatcher,
    fair_share,
    request_queue,
    retry_budget,
    steering,
)
from carobhook.emulator import model, simulation
from carobhook.state import allocation, client_accounts, ids, routing
from carobhook.transport import shard_dispatchers
from test_dispatcher import SERVICE, make_request, offer

# Digest of the decisions of `replay_history` for seeds 0 to 19, by the dispatcher before it
# knew of accounts (commit f259ba0).
DECISIONS_BEFORE_ACCOUNTS = "cda4dcd2f6e5ca1563a763e6edd0b98dce099b4784092cda9f79ee05b6135775"


def replay_history(seed, **options):
    """Return all decisions of a dispatcher on a random history of requests and releases."""
    rng = random.Random(seed)
    budget = retry_budget.RetryBudget(0.2, 5.0, 10.0)
    subject = dispatcher.Dispatcher(budget, **options)
    subject.pool.replace([offer(f"s{number}") for number in range(4)], 0.0)
    now, running, decided = 0.0, [], []
    for number in range(400):
        now += rng.expovariate(60.0)
        step = rng.random()
        if step < 0.6 or not running:
            request = make_request(
                number,
                now,
                target_s=rng.choice((0.25, 0.5, 0.6, 1.5)),
                deadline_s=rng.choice((2.0, 4.0)),
                object_key=rng.choice((None, *"abcdefghij")),
                priority=rng.randrange(3),
                repeat=rng.random() < 0.1,
                account=ids.Account(rng.choice("xyz")),
            )
            decisions = subject.submit(request, now)
        elif step < 0.95:
            grant = running.pop(rng.randrange(len(running)))
            end = rng.choice(tuple(allocation.AttemptOutcome))
            decisions = subject.release_slot(grant.ask_id, grant.server, end, now)
        else:
            decisions = subject.decide(now)
        running += [d for d in decisions if isinstance(d, allocation.SlotGrant)]
        for decision in decisions:
            figures = [decision.ask_id, type(decision).__name__]
            if isinstance(decision, allocation.SlotGrant):
                figures.append(decision.server)
            else:
                figures += [decision.code.number, f"{decision.retry_after_s:.6f}"]
            decided.append(figures)
    return decided


def digest_of_histories(**options):
    """Return a digest of the decisions on 20 histories."""
    histories = [replay_history(seed, **options) for seed in range(20)]
    return hashlib.sha256(repr(histories).encode()).hexdigest()


def make_shares(weights, min_route_share=0.0):
    """Return fair shares of accounts with the given weights."""
    return fair_share.FairShares(weights.get, min_route_share)


def send(shares, number, account, route="route", granted=False, now=0.0, work_s=0.1):
    """Record requests of an account, with or without a grant."""
    request = account_request(account, route)
    for _ in range(number):
        shares.record_request(request, work_s, now)
        if granted:
            shares.record_grant(request, work_s, now)


def account_request(account, route="route", priority=1):
    """Return a slot request of an account."""
    return allocation.SlotRequest(
        ids.RequestId("r"), ids.Service("s"), route, None, priority, 1.0, 5.0, account=account
    )


class TestDefaultOrder:
    """Deployments without accounts and without a minimum share are served as before."""

    def test_decisions_are_those_from_before_accounts(self):
        """Guards against any change of order, code or Retry-After with the defaults."""
        assert digest_of_histories() == DECISIONS_BEFORE_ACCOUNTS
        off = fair_share.FairShares(None, 0.0)
        assert digest_of_histories(fairness=off) == DECISIONS_BEFORE_ACCOUNTS


class TestMaxMin:
    """Max-min shares by weight."""

    def test_small_demands_are_met_and_the_rest_is_shared_by_weight(self):
        """Guards against shares that leave capacity unused or cut a small demand."""
        assert fair_share.max_min_level([(1, 1), (9, 1), (20, 2)], 13) == pytest.approx(4)

    def test_enough_capacity_is_no_limit(self):
        """Guards against limits on accounts while there is room for all."""
        assert fair_share.max_min_level([(1, 1), (2, 1)], 3) == float("inf")


class TestStanding:
    """Place of a request by what its account and route received."""

    def test_account_beyond_its_share_is_placed_behind_others(self):
        """Guards against an account that takes the slots of others by sending more."""
        shares = make_shares({"a": 1.0, "b": 1.0})
        send(shares, 100, "a")
        send(shares, 60, "a", granted=True)
        send(shares, 60, "b")
        send(shares, 20, "b", granted=True)
        assert shares.standing(account_request("a"), 0.1, 0.2) is fair_share.Standing.BEYOND
        assert shares.standing(account_request("b"), 0.1, 0.2) is fair_share.Standing.USUAL

    def test_share_is_used_by_urgent_requests_first(self):
        """Guards against urgent requests that wait behind others of the same account."""
        shares = make_shares({"a": 1.0, "b": 1.0})
        send(shares, 160, "a", granted=True)
        send(shares, 400, "b")
        urgent = account_request("a", priority=0)
        assert shares.standing(urgent, 0.1, 0.2) is fair_share.Standing.USUAL
        assert shares.standing(account_request("a"), 0.1, 0.2) is fair_share.Standing.BEYOND

    def test_nobody_is_beyond_while_slots_are_plenty(self):
        """Guards against fair shares that take effect without overload."""
        shares = make_shares({"a": 1.0, "b": 1.0})
        send(shares, 100, "a", granted=True)
        assert shares.standing(account_request("a"), 0.1, 0.2) is fair_share.Standing.USUAL

    def test_route_below_its_minimum_share_goes_first(self):
        """Guards against a low rank that gets nothing under overload."""
        shares = fair_share.FairShares(None, 0.25)
        send(shares, 100, None, "low")
        send(shares, 100, None, "high", granted=True)
        low, high = account_request(None, "low"), account_request(None, "high")
        assert shares.standing(low, 0.1, 0.2) is fair_share.Standing.FIRST
        assert shares.standing(high, 0.1, 0.2) is fair_share.Standing.USUAL

    def test_repeated_requests_do_not_raise_the_minimum_share(self):
        """Guards against an account that goes first because it sends everything many times."""
        shares = make_shares({"a": 1.0, "b": 1.0}, 0.25)
        send(shares, 2000, "a")
        send(shares, 50, "a", granted=True)
        send(shares, 60, "b")
        send(shares, 50, "b", granted=True)
        assert shares.standing(account_request("a"), 0.1, 0.2) is fair_share.Standing.USUAL

    def test_account_without_a_quota_has_the_mean_weight(self):
        """Guards against accounts without a limit that get no share, or all."""
        table = client_accounts.AccountTable.build(
            (client_accounts.ClientAccount(ids.Account(name), quota), ())
            for name, quota in (
                ("a", client_accounts.Quota(30.0)),
                ("b", client_accounts.Quota(10.0)),
                ("c", None),
            )
        )
        shares = fair_share.FairShares(fair_share.account_weights(table))
        for name in "abc":
            send(shares, 400, name)
            send(shares, 200, name, granted=True)
        standings = [shares.standing(account_request(name), 0.1, 0.2) for name in "abc"]
        assert standings == [
            fair_share.Standing.USUAL,
            fair_share.Standing.BEYOND,
            fair_share.Standing.USUAL,
        ]


class TestCost:
    """Memory and time."""

    def test_memory_is_bounded_by_recent_accounts(self):
        """Guards against an entry for every account and route ever seen."""
        shares = fair_share.FairShares(lambda name: None, 0.25)
        for number in range(1000):
            send(shares, 1, f"account-{number}", f"route-{number}", now=number)
        assert shares.are_slots_scarce(1000.0)
        assert shares.tracked < 60
        shares.standing(account_request("a"), 0.1, 1200.0)
        assert shares.tracked == 0

    def test_ranks_that_clients_state_are_bounded(self):
        """Guards against sums that grow with each rank that a client makes up."""
        shares = fair_share.FairShares(lambda name: None, 0.25)
        for number in range(500):
            shares.record_grant(make_request(number, priority=number - 100), 0.1, 0.0)
        assert len(shares._total.granted_by_rank) <= 16

    def test_accounts_are_reviewed_at_intervals(self):
        """Guards against decisions whose time grows with the number of accounts."""
        looked_up = []
        shares = fair_share.FairShares(looked_up.append)
        for number in range(500):
            send(shares, 1, f"account-{number}")
        for number in range(1000):
            shares.standing(account_request("account-1"), 0.1, number / 1000)
        assert len(looked_up) <= 2 * 500


class TestQueueOrder:
    """Order of the queue with standings."""

    def test_request_in_time_never_waits_behind_a_late_one(self):
        """Guards against late work that starts before work that can still be in time."""
        rng = random.Random(1)
        queue = request_queue.RequestQueue()
        for number in range(300):
            queued = request_queue.QueuedRequest(
                make_request(number, rng.random(), priority=rng.randrange(3)),
                0.1,
                standing=rng.choice(tuple(fair_share.Standing)),
            )
            queue.add(queued)
            if rng.random() < 0.4:
                queue.mark_late(queued)
        late = [queued.late for queued in queue]
        assert late == sorted(late)

    def test_beyond_waits_behind_every_rank(self):
        """Guards against a flooding account with urgent requests."""
        queue = request_queue.RequestQueue()
        standings = (
            fair_share.Standing.BEYOND,
            fair_share.Standing.USUAL,
            fair_share.Standing.FIRST,
        )
        for number, standing in enumerate(standings):
            request = make_request(number, priority=number)
            queue.add(request_queue.QueuedRequest(request, 0.1, standing=standing))
        assert [queued.request.id for queued in queue] == ["r2", "r1", "r0"]


class TestOverload:
    """Replays of the load of two customers in the emulator."""

    def test_refused_requests_that_return_at_once_gain_nothing(self):
        """Guards against clients that are served more often because they repeat at once."""
        by_client = simulation.simulate_groups(
            model.customer_scenario(2.0, duration_s=12.0), "fair-order"
        ).by_client
        hasty, patient = by_client["hasty"], by_client["patient"]
        assert hasty.share_in_time < patient.share_in_time + 0.03
        assert hasty.share_in_time < by_client["leaving"].share_in_time + 0.03

    def test_lowest_rank_keeps_its_least_share(self):
        """Guards against a lowest rank that starves, and a highest one that pays for it."""
        by_kind = simulation.simulate(
            model.customer_scenario(2.5, duration_s=12.0), "fair-order"
        )
        overall, lowest = by_kind[""].share_in_time, by_kind["report"].share_in_time
        assert lowest > 0.25 * overall
        assert by_kind["payment"].share_in_time > lowest - 0.05

    def test_flooding_account_leaves_the_others_as_they_were(self):
        """Guards against an account that costs the others by sending 7 times its usual load."""
        shares = []
        for flood_factor in (1.0, 7.0):
            scenario = model.customer_scenario(1.2, duration_s=16.0)
            accounts = tuple(
                attrs.evolve(account, flood_factor=min(account.flood_factor, flood_factor))
                for account in scenario.accounts
            )
            scenario = attrs.evolve(scenario, accounts=accounts)
            by_account = simulation.simulate_groups(scenario, "fair-order").by_account
            others = [stats for name, stats in by_account.items() if name != "flooding"]
            in_time = sum(stats.in_time for stats in others)
            shares.append(in_time / sum(stats.total for stats in others))
        assert shares[1] > shares[0] - 0.03


class TestReasons:
    """Reasons of refusals."""

    def test_refusal_says_the_reason(self):
        """Guards against refusals that an operator cannot explain."""
        budget = retry_budget.RetryBudget(10.0, 10.0, 10.0)
        shares = fair_share.FairShares({"a": 1.0, "b": 1.0}.get)
        subject = dispatcher.Dispatcher(budget, fairness=shares)
        subject.pool.replace([offer("s", slots=1)], 0.0)
        decisions = []
        for number in range(60):
            account = ids.Account("a" if number % 6 else "b")
            request = make_request(number, target_s=0.9, account=account)
            decisions += subject.submit(request, 0.0)
        late = make_request(91, -0.9, target_s=1.0, account=ids.Account("a"))
        decisions += subject.submit(late, 0.1)
        details = [d.detail for d in decisions if isinstance(d, allocation.SlotRefusal)]
        reasons = {detail.split()[0] for detail in details}
        assert "reason=queue" in reasons
        assert all("account_share_s=" in detail for detail in details)


class TestShardDispatchers:
    """The dispatchers of an instance."""

    def test_accounts_in_force_turn_fair_shares_on_and_off(self):
        """Guards against fair shares by an old configuration, or without accounts."""
        server_catalog = catalog.Catalog()
        domains = {ids.FailureDomain("north-a"): ids.Region("north")}
        own = ids.InstanceId("i-1")
        dispatchers = shard_dispatchers.ShardDispatchers(
            task.Clock(),
            own,
            domains,
            server_catalog,
            steering.Steering(domains),
            test_slot_allocator.LIMITS,
            lambda shard: own,
            lambda receiver, message: True,
            lambda: [own],
            lambda region: 1.0,
        )
        state = dispatchers.get_or_create((ids.Region("north"), SERVICE))
        assert not state.dispatcher.fairness.is_active
        account = client_accounts.ClientAccount(ids.Account("a"), client_accounts.Quota(7.0))
        table = client_accounts.AccountTable.build([(account, ["key"])])
        for version, accounts in ((1, table), (2, None)):
            config = routing.RoutingConfig(version, (), {}, accounts=accounts)
            server_catalog.replace_config_if_newer(config)
            dispatchers.update_servers()
            assert state.dispatcher.fairness.is_active == (accounts is not None)
            if accounts is not None:
                assert state.dispatcher.fairness.weights("a") == 7.0
