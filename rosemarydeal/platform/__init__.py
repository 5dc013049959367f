"""The adapter to the operator's platform: names, formats and calls.

This package makes no decisions, and the platform's names are used in no other
package. Each module converts one kind of wire format to and from the types of
`rosemarydeal.core`.
"""
