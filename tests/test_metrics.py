"""Metrics stay bounded however many client accounts there are."""

from guavacleat.metrics import StreamMetrics
from guavacleat.metrics.streams import MAX_ACCOUNTS, OTHER_ACCOUNTS


def test_accounts_past_the_bound_share_a_series():
    """
    Symptom: gateways grow by gigabytes over a day until they are killed.
    Sequence: thousands of client accounts each send a request now and then.
    Cause: every account kept histograms of its own for good.
    """
    metrics = StreamMetrics()
    for number in range(MAX_ACCOUNTS + 20):
        metrics.first_token(f"account-{number}", "standard", 0.1)
    rows_by_account = {row["account"]: row for row in metrics.latencies.summary()}
    assert len(rows_by_account) == MAX_ACCOUNTS + 1
    assert rows_by_account[OTHER_ACCOUNTS]["count"] == 20
