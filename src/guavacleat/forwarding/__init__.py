"""Forwarding of requests to endpoints: retries, deadlines, response checks, stream migration."""
