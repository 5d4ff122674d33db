"""Sends one query through the toy router with a usual MySQL client library (pip install pymysql)."""

import secrets

import pymysql

FIELDS = f"/* route=report,trace={secrets.token_hex(8)},patience=1500,weight=50.0,mb=4 */"
SELECT = "SELECT day, count(*), max(note) FROM sales_17.orders WHERE tag = '3f9c' GROUP BY day"

connection = pymysql.connect(host="127.0.0.1", port=7306, user="app", password="", database="lake")
with connection, connection.cursor() as cursor:
    cursor.execute(f"{FIELDS} {SELECT}")
    rows = cursor.fetchall()
    print(f"{len(rows)} rows; the first: {rows[0]}")
