"""Decision logic as pure functions and state machines, without I/O."""
