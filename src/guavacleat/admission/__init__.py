"""Request admission: fair queues, queue limits per client account, and early refusal.

Import from the modules directly: the ingress needs only some of them, and its memory footprint
must stay small.
"""
