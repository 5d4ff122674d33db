"""Protobuf definitions of Flight and Flight SQL, and the code that protoc generates from them.

Do not edit *_pb2.py; regenerate them with `python -m hillchute.protocol.generate`, which needs grpcio-tools.
The package is imported only if Flight is configured, since it depends on optional packages.
"""
