"""The decisions of one router: scheduler.py is the facade, interface.py its inputs and decisions."""
