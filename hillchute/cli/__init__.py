"""The command line: verbs, help and exit codes; no logic of any subsystem."""
