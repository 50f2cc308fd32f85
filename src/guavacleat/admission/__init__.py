"""Admission of requests: fair queues, bounds per client account, refusal as not run."""

from guavacleat.admission.dispatcher import Dispatcher
from guavacleat.admission.gate import Admission
from guavacleat.admission.queues import QUEUES_BY_NAME, get_queue_by_name

__all__ = ["Admission", "Dispatcher", "QUEUES_BY_NAME", "get_queue_by_name"]
