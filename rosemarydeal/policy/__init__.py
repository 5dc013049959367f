"""All decisions, as pure functions and state machines."""
