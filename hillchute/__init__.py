"""hillchute: a query gateway that decides what runs, where and with how much memory."""

__version__ = "0.5.0"
