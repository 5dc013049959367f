"""The process that runs beside an upstream on an operator's platform.

Tasks own their sockets and their state. Decisions are made in
`rosemarydeal.policy`; the platform's protocols are in `rosemarydeal.platform`.
"""
