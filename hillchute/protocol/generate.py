"""Regenerates this package's *_pb2.py from its .proto files: python -m hillchute.protocol.generate."""

import sys
from importlib.resources import files
from pathlib import Path

from grpc_tools import protoc


def main() -> int:
    package_directory = Path(str(files(__package__)))
    bundled_protos = str(files("grpc_tools").joinpath("_proto"))
    root = package_directory.parent.parent
    protos = [str(path) for path in sorted(package_directory.glob("*.proto"))]
    return protoc.main(["protoc", f"-I{root}", f"-I{bundled_protos}", f"--python_out={root}", *protos])


if __name__ == "__main__":
    sys.exit(main())
