"""Sends one query to a router with the MySQL client library PyMySQL: python examples/ask.py PORT."""

import secrets
import sys

import pymysql

FIELDS = f"/* route=report,trace={secrets.token_hex(8)},patience=1500,weight=50.0,mb=4 */"
SELECT = "SELECT /* lab ms=50 rows=400 */ day, count(*), max(note) FROM sales_17.orders GROUP BY day"

connection = pymysql.connect(
    host="127.0.0.1", port=int(sys.argv[1]), user="app", password="", database="lake"
)
with connection, connection.cursor() as cursor:
    cursor.execute(f"{FIELDS} {SELECT}")
    rows = cursor.fetchall()
    print(f"{len(rows)} rows; the first: {rows[0]}")
