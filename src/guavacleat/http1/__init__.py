"""HTTP/1.1 server and client on Twisted transports, with h11 as the parser."""
