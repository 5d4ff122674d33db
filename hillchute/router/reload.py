"""Reloads the configuration and the operator file on SIGHUP.

Changes that need no restart apply at once; the log names those that do. A file that can't be used changes
nothing.
"""

from collections.abc import Callable, Mapping
from dataclasses import dataclass
from typing import Any, NamedTuple, TypeAlias

import anyio.abc

from hillchute.discovery.watcher import EndpointWatcher
from hillchute.errors import ConfigurationError, HillchuteError
from hillchute.log import Log
from hillchute.router import config
from hillchute.router.config import RouterConfiguration
from hillchute.router.endpoint_updates import EndpointUpdates
from hillchute.router.integrations.interface import PreparedReload, RouterExtension
from hillchute.router.interfaces import FlightFrontend

OperatorSettings: TypeAlias = Mapping[str, Any]
"""The operator file's sections as nested maps, checked and with defaults (hillchute/operator/schema.cue)."""


class OperatorFile(NamedTuple):
    """The operator file's settings, and a function that reads the file again.

    `read` raises OperatorFileError if the file can't be used.
    """

    settings: OperatorSettings
    read: Callable[[], OperatorSettings] | None = None  # None if it can't be read again


class NeedsRestart(NamedTuple):
    """Sections that a running router does not apply; a PreparedReload."""

    needs_restart: list[str]

    def apply(self) -> None:
        """Does nothing."""


NO_OPERATOR_FILE = OperatorFile({})
"""Enables only the platform's protocol."""


@dataclass(eq=False, kw_only=True)
class ConfigurationReloader:
    """Holds the configuration in force and reloads it."""

    configuration: RouterConfiguration
    operator_file: OperatorFile
    endpoint_updates: EndpointUpdates
    endpoint_watcher: EndpointWatcher
    flight: FlightFrontend | None
    extension: RouterExtension | None
    log: Log

    def reload(self, tasks: anyio.abc.TaskGroup) -> None:
        """Reads both files again and watches the event bus at its new address, as a task in `tasks`."""
        try:
            configuration = config.read_configuration()
        except ConfigurationError as error:
            self.log.write("reload", kept="the running configuration", reason=str(error), **error.log_fields)
            return
        restart = config.needs_restart(self.configuration, configuration) + self._reload_operator_file()
        self.log.write("reload", bus=list(configuration.event_bus_address), needs_restart=restart)
        self.configuration = self.configuration._replace(event_bus_address=configuration.event_bus_address)
        for update in configuration.initial_watch_events:
            self.endpoint_updates.on_watch_event(update)
        self.endpoint_watcher.watch(self.configuration.event_bus_address, tasks)

    def _reload_operator_file(self) -> list[str]:
        """Returns the paths of changes that need a restart; none if the file is unusable, which is logged."""
        if self.operator_file.read is None:
            return []
        try:
            settings = self.operator_file.read()
            sections = self._prepare(settings)
        except HillchuteError as error:
            self.log.write("reload", kept="the running operator file", reason=str(error), **error.log_fields)
            return []
        running = self.operator_file.settings
        restart = [section for section in ("engines", "log") if settings[section] != running[section]]
        for section in sections:
            section.apply()
            restart += section.needs_restart
        self.operator_file = self.operator_file._replace(settings=settings)
        return restart

    def _prepare(self, settings: OperatorSettings) -> list[PreparedReload]:
        """Checks the sections of the components; raises HillchuteError if one can't be used."""
        running = self.operator_file.settings
        prepared: list[PreparedReload] = []
        flight = settings.get("flight")
        if self.flight is not None and flight is not None:
            prepared.append(self.flight.prepare_reload(flight))
        elif running.get("flight") != flight:
            prepared.append(NeedsRestart(["flight"]))
        peers = settings.get("peers")
        if self.extension is not None and peers is not None:
            prepared.append(self.extension.prepare_reload(settings))
        elif running.get("peers") != peers:
            prepared.append(NeedsRestart(["peers"]))
        return prepared
