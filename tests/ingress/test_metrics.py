"""Metrics of control traffic."""

import types

from guavacleat.admission.backlog import rank_of
from guavacleat.admission.fleet_queues import FleetQueues
from guavacleat.ingress.metrics import IngressMetrics
from guavacleat.ingress.sources import ControlTraffic


def test_store_calls_and_report_bytes_are_exposed():
    metrics = IngressMetrics()
    traffic = ControlTraffic({"watch": 7}, {"near": 900, "far": 40}, shortened_reports=3)
    metrics.update_control_traffic(traffic)
    lines = metrics.exposition().decode().splitlines()
    assert 'guavacleat_store_calls{type="watch"} 7' in lines
    assert 'guavacleat_report_bytes{scope="near"} 900' in lines
    assert 'guavacleat_report_bytes{scope="far"} 40' in lines
    assert "guavacleat_reports_shortened 3" in lines


def test_source_without_a_store_exposes_no_store_calls():
    metrics = IngressMetrics()
    metrics.update_control_traffic(ControlTraffic({}, {}))
    assert b"guavacleat_store_calls{" not in metrics.exposition()


def test_dispatches_by_rank_and_skipped_heads_are_exposed(clock):
    metrics, queues = IngressMetrics(), FleetQueues(clock, None)
    history = queues._new_queue("svc").history
    queues.queues_by_service["svc"] = types.SimpleNamespace(
        history=history, head_watch=types.SimpleNamespace(skipped_count=2)
    )
    for rank in (0, 2, 2, rank_of(99, deferrable=True)):
        history.record(0.0, rank, 100)
    metrics.update_queue(queues)
    lines = metrics.exposition().decode().splitlines()
    assert 'guavacleat_generations_dispatched{rank="2"} 2' in lines
    assert 'guavacleat_generations_dispatched{rank="7"} 1' in lines
    assert "guavacleat_heads_skipped 2" in lines
