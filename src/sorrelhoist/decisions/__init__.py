"""Decision logic as pure functions and state: no I/O, time is an argument."""
