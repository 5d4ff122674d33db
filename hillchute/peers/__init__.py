"""Communication between routers: failure detection and messages. Off unless the operator file names peers."""
