"""Makes the *_pb2.py of this package from its .proto files anew: python -m hillchute.protocol.generate."""

import sys
from importlib.resources import files
from pathlib import Path

from grpc_tools import protoc


def main() -> int:
    here = Path(str(files(__package__)))
    shipped = str(files("grpc_tools").joinpath("_proto"))
    root = here.parent.parent
    protos = [str(path) for path in sorted(here.glob("*.proto"))]
    return protoc.main(["protoc", f"-I{root}", f"-I{shipped}", f"--python_out={root}", *protos])


if __name__ == "__main__":
    sys.exit(main())
