"""What the exposition tells of control traffic."""

from guavacleat.ingress.metrics import IngressMetrics
from guavacleat.ingress.sources import ControlTraffic


def test_store_calls_and_report_bytes_are_exposed():
    metrics = IngressMetrics()
    metrics.spent(ControlTraffic({"watch": 7}, {"near": 900, "far": 40}))
    lines = metrics.exposition().decode().splitlines()
    assert 'guavacleat_store_calls{type="watch"} 7' in lines
    assert 'guavacleat_report_bytes{scope="near"} 900' in lines
    assert 'guavacleat_report_bytes{scope="far"} 40' in lines


def test_a_source_that_asks_nobody_exposes_nothing_of_it():
    metrics = IngressMetrics()
    metrics.spent(ControlTraffic({}, {}))
    assert b"guavacleat_store_calls{" not in metrics.exposition()
