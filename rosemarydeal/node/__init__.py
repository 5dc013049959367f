"""The process beside an upstream on an operator's platform.

Tasks own their sockets and their state; what they decide is in
`rosemarydeal.policy`, what they speak to the platform in `rosemarydeal.platform`.
"""
