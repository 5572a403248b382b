"""Tests of transport.entry_endpoints: look-ups at an instance that has just started."""

import json

from twisted.internet import task

from carobhook import entry_metrics
from carobhook.coordination import membership
from carobhook.protocol import http1
from carobhook.state import ids, members
from carobhook.transport import client_connections, entry_endpoints

LOOKUP = b"/-/resolve?Name=shop.example&Region=north&Zone=north-a"


def member(name, region, phase):
    """Return a member of a region."""
    return members.Member(
        ids.InstanceId(name),
        ids.Incarnation("0" * 16),
        ids.Region(region),
        ids.FailureDomain(f"{region}-a"),
        f"{name}:1",
        f"{name}:2",
        phase,
        ids.Version(1),
    )


def look_up(phase):
    """Return the addresses for a client in the north; the instance knows one in the south."""
    clock = task.Clock()
    known = membership.Membership(ids.InstanceId("n1"))
    known.record_heartbeat(member("n1", "north", phase), 0.0)
    known.record_heartbeat(member("s1", "south", members.Phase.READY), 0.0)
    metrics = entry_metrics.EntryMetrics(dict.fromkeys(entry_metrics.EntryMetric, float))
    endpoints = entry_endpoints.EntryEndpoints(
        clock, known, metrics, lambda: phase, lambda: 2.0
    )
    responses = []
    head = http1.RequestHead(b"GET", LOOKUP, ())
    request = client_connections.ClientRequest(head, b"", "10.0.0.1", 0.0)
    endpoints.handle_directory(request, responses.append)
    if responses[0].status != 200:
        return []
    return json.loads(responses[0].body)["Addresses"]


class TestYoungDirectory:
    """An instance that starts has heard from other regions first, and names them."""

    def test_starting_instance_names_no_other_region(self):
        """The client gets no addresses and asks the next directory of its region."""
        assert look_up(members.Phase.STARTING) == []

    def test_ready_instance_names_itself(self):
        """An instance that is ready names those of the client's region."""
        assert look_up(members.Phase.READY) == ["n1:1"]
