"""The decisions of one router: teamwork.py decides, state.py holds what is known, interface.py the calls."""
