"""Admission of requests: fair queues, bounds per client account, refusal as not run.

Import from the modules: the ingress uses few of them and must stay small.
"""
