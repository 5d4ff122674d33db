"""The command line: verbs, help texts and exit codes."""
