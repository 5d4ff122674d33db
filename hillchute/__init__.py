"""hillchute: a query gateway that decides which query runs when, on which engine and with how much memory."""

__version__ = "0.5.0"
