"""Transport layer: sockets, timers, and the parts of the entry daemon that use them."""
