"""Tests of carobhook.coordination.relay_choice: who is asked to relay a request."""

import random

import attrs

import test_server_exchange
from carobhook.coordination import relay_choice

NORTH, SOUTH = test_server_exchange.NORTH, test_server_exchange.SOUTH
NEAR = [test_server_exchange.member(f"near-{number}") for number in range(3)]
FAR = [test_server_exchange.member(f"far-{number}", SOUTH) for number in range(3)]


def names(choice, now, homes=(), peers=(*NEAR, *FAR)):
    """Return the names of the instances in the order in which they are asked."""
    return [peer.name for peer in choice.order(peers, frozenset(homes), now)]


class TestRelayChoice:
    """The order in which instances are asked."""

    def choice(self):
        """Return a choice at an instance of the north."""
        return relay_choice.RelayChoice(random.Random(1), NORTH)

    def test_own_region_comes_first(self):
        """Traffic between regions is slower and billed."""
        assert all(name.startswith("near") for name in names(self.choice(), 0.0)[:3])

    def test_homes_bind(self):
        """Others never get the body of the request."""
        assert all(name.startswith("far") for name in names(self.choice(), 0.0, [SOUTH]))

    def test_instances_that_brought_nothing_come_last(self):
        """Also after those of other regions, for a while."""
        choice = self.choice()
        choice.record_refusal(NEAR[0].name, 0.0)
        choice.record_loss(NEAR[1].name, 0.0)
        assert set(names(choice, 4.9)[-2:]) == {"near-0", "near-1"}
        assert set(names(choice, 5.1)[:3]) == {"near-0", "near-1", "near-2"}

    def test_refusal_is_no_reason_to_ask_again_at_once(self):
        """A lost request is none not to ask again: the server may have been at fault."""
        choice = self.choice()
        choice.record_refusal(NEAR[0].name, 0.0)
        choice.record_loss(NEAR[1].name, 0.0)
        assert [choice.may_ask(peer.name, 0.9) for peer in NEAR] == [False, True, True]
        assert choice.may_ask(NEAR[0].name, 1.1)

    def test_response_clears_the_doubt(self):
        """An instance that delivers is as good as any."""
        choice = self.choice()
        choice.record_refusal(NEAR[0].name, 0.0)
        choice.record_response(NEAR[0].name)
        assert choice.may_ask(NEAR[0].name, 0.1)
        assert set(names(choice, 0.1)[:3]) == {"near-0", "near-1", "near-2"}

    def test_requests_spread_by_weight(self):
        """An instance with half the weight comes first half as often."""
        choice = self.choice()
        peers = [attrs.evolve(NEAR[0], weight=1.0), attrs.evolve(NEAR[1], weight=2.0)]
        first = [names(choice, 0.0, peers=peers)[0] for _ in range(3000)]
        assert 0.3 < first.count("near-0") / 3000 < 0.37
