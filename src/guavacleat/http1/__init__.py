"""HTTP/1.1 on Twisted transports, framed by h11: callers' connections and endpoints' connections."""
