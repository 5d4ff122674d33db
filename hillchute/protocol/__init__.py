"""Published protobuf messages and what protoc makes of them (*_pb2.py: never edited; regenerate with
`python -m hillchute.protocol.generate`, grpcio-tools installed). Imported only where Flight is on."""
