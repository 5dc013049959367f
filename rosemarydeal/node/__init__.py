"""The process that runs beside an upstream on an operator's platform.

Each task owns its sockets and its state. Decisions are made in
`rosemarydeal.policy`; the platform's protocols are in `rosemarydeal.platform`.
"""
