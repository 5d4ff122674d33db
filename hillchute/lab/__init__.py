"""Stand-ins, rigs and checkers of the rules. Never imported by anything that serves."""
