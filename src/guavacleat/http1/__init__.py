"""HTTP/1.1 on Twisted transports, framed by h11: connections of callers and to endpoints."""
