"""Orders to engines (load a model, adapter or version; change role) with fencing numbers."""

from guavacleat.orders.fencing import ORDER_KIND, current_fencing_number, issue_fencing_number

__all__ = ["ORDER_KIND", "current_fencing_number", "issue_fencing_number"]
