"""Convert sockets, calls and timers to events, and effects to I/O."""
