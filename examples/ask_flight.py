"""Sends one query to a router with the ADBC driver for Flight SQL: python examples/ask_flight.py PORT."""

import sys

from adbc_driver_flightsql import DatabaseOptions, dbapi

SELECT = "SELECT /* lab ms=50 rows=400 */ day, count(*), max(note) FROM sales_17.orders GROUP BY day"

headers = {"route": "report", "patience": "1500", "weight": "50.0", "mb": "4"}
prefix = DatabaseOptions.RPC_CALL_HEADER_PREFIX.value
options = {f"{prefix}x-hillchute-{name}": value for name, value in headers.items()}
with dbapi.connect(f"grpc://127.0.0.1:{sys.argv[1]}", db_kwargs=options, autocommit=True) as connection:
    with connection.cursor() as cursor:
        cursor.execute(SELECT)
        rows = cursor.fetchall()
        print(f"{len(rows)} rows; the first: {rows[0]}")
