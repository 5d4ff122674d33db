"""Router configuration of the toy deployment: three resource groups and a few engines."""

MS = 1_000_000  # nanoseconds


def make_configuration(
    routers: int = 1, engines: int = 0, sockets: int = 1024, mutating: bool = False, **overrides: object
) -> dict[str, object]:
    """Return a configuration as parsed from JSON.

    `engines` are listed as ready, at ports from 1 on. `mutating` adds a fourth group, whose queries change
    data and have no idempotency token.
    """
    endpoints = [
        {"name": f"s-{n:08x}", "address": f"127.0.0.1:{n}", "status": "Ready", "type": "std", "zone": "here"}
        for n in range(1, engines + 1)
    ]
    batch = [{"offset": 1, "topology": {"snapshot": True, "endpoints": endpoints}}] if engines else []
    extra_groups = [group("change", 1_000, 3.0, 6_000, "once", 2.0)] if mutating else []
    return {
        "name": "toy",
        "listen": "127.0.0.1:7306",
        "seed": "8c1f30d27a5be964",
        "limits": {"cores": 1.0, "memory_mb": 192, "sockets": sockets},
        "bus": "127.0.0.1:7500",
        "known": {"offset": len(batch), "batch": batch},
        "settings": {
            "me": 0,
            "n_instances": routers,
            "tick_ns": 1 * MS,
            "discovery": "pushed",
            "kinds": ["std"],
            "dcs": ["here"],
            "classes": [
                group("lookup", 500, 1.5, 3_000, "repeatable", 1.0),
                group("report", 1_000, 2.5, 6_000, "repeatable", 5.0),
                group("event-load", 2_000, 3.0, 9_000, "by_key", 4.0)
                | {"group": "all", "window_ns": 25_000 * MS, "keep_order": True},
                *extra_groups,
            ],
            "domain": {
                "kind_cores": [8],
                "ram_of_kind_mb": [16384],
                "width_by_class": [1, 4, 2, *(2 for _ in extra_groups)],
                "class_load": [False, False, True, *(False for _ in extra_groups)],
                "yields_to_loads": [True, False, False, *(False for _ in extra_groups)],
                "ranks_heeded": True,
                "tells_every_ns": 1_000 * MS,
            },
            "limits": {
                "connect_timeout_ns": 250 * MS,
                "keepalive_ns": 30_000 * MS,
                "streams_per_conn": 100,
                "most_tries": 3,
                "open_cap": 2000,
                "probes": True,
                "cancel": False,
            },
            "report": {"via": "probe", "columns": ["util", "inflight"]},
            "guarantees": {
                "order_pause_ns": 300 * MS,
                "cold_ns": 15_000 * MS,
                "cold_from": 0.3,
                "fall_ns": 1_500 * MS,
                "drain_grace_ns": 1_000 * MS,
            },
        },
    } | overrides


def group(
    name: str, target_runtime: int, stretch: float, timeout: int, effect: str, value: float
) -> dict[str, object]:
    """Return one resource group; times are in milliseconds."""
    return {
        "name": name,
        "goal_time_ns": target_runtime * MS,
        "aim_stretch": stretch,
        "deadline_ns": timeout * MS,
        "semantics": effect,
        "worth": value,
    }
