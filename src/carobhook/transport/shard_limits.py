"""Limits that the dispatchers of all instances keep together."""

import attrs

# Fraction of the configured retry limits that dispatchers apply. Requests on their way are not
# counted yet; without this margin, all instances together could exceed the configured limits.
APPLIED_LIMIT_SHARE = 0.8


@attrs.frozen
class SlotLimits:
    """Limits on the retries and cold-server requests of all instances, and on loan changes.

    Attributes:
        budget_ratio: Retries allowed per request of a service.
        budget_slack: Additional retries allowed per window, in all regions together.
        budget_window_s: Length of the window in seconds.
        cold_factor: Multiple of its configured rate that a cold server may get.
        cold_slack: Requests a second that a cold server may get beyond that multiple.
        loan_step: Largest change of the loan to one region per update, as a share of the
            borrower's demand.
        region_change: Largest change of one region's share of a shard's requests within two
            seconds.
        min_route_share: Share of the requested work that each route and account is granted at
            least, as a multiple of that of all; 0 for no minimum.
    """

    budget_ratio: float
    budget_slack: float
    budget_window_s: float
    cold_factor: float
    cold_slack: float
    loan_step: float
    region_change: float = 1.0
    min_route_share: float = 0.0
