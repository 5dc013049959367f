"""The adapter to the operator's platform: names, formats and calls.

Nothing here decides anything, and nothing outside knows the platform's names.
Each module turns one kind of wire format into the types of `rosemarydeal.core`
and back.
"""
