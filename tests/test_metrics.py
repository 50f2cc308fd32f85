"""The number of time series is bounded."""

from guavacleat.metrics import StreamMetrics
from guavacleat.metrics.streams import MAX_ACCOUNTS, OTHER_ACCOUNTS


def test_accounts_above_the_limit_share_a_series():
    """Guards against memory that grows with the number of accounts."""
    metrics = StreamMetrics()
    for number in range(MAX_ACCOUNTS + 20):
        metrics.record_first_token(f"account-{number}", "standard", 0.1)
    rows_by_account = {row["account"]: row for row in metrics.latencies.summary()}
    assert len(rows_by_account) == MAX_ACCOUNTS + 1
    assert rows_by_account[OTHER_ACCOUNTS]["count"] == 20
