"""Pure decisions of the request path: no sockets, no event loop, time passed in."""
