"""Controller of the configuration in force on this daemon."""

from __future__ import annotations

from collections.abc import Callable, Mapping
from dataclasses import dataclass
from typing import Any, Self, TypeVar

from pimentohoist._configuration_fold import (
    CONFIGURATION_STREAM,
    ConfigurationFold,
    PublishVerdict,
)
from pimentohoist._controllers.follower import PollTiming, StreamFollower
from pimentohoist._configuration_text import text_digest
from pimentohoist._sections import section_kind
from pimentohoist._snapshots import Snapshot
from pimentohoist.configuration import (
    Adapter,
    EndpointGroup,
    Key,
    Route,
    Section,
    Workspace,
)
from pimentohoist.exceptions import UnavailableError
from pimentohoist.protocols import Log

SectionT = TypeVar('SectionT', bound=Section)

_STEP = 'configuration'
_RETRY_AFTER_S = 1.0
_POLL_PERIOD_S = 0.8
_POLL_TIMING = PollTiming(wait_s=0, pause_s=_POLL_PERIOD_S)
"""Reads without a wait show the head as late as long polls of half the period would."""


def _poll_timing() -> PollTiming:
    return _POLL_TIMING


@dataclass(frozen=True, slots=True)
class ConfigurationInForce:
    """The text in force once the records before `next_offset` were applied."""

    text: str
    next_offset: int

    @property
    def digest(self) -> str:
        """SHA-256 of the text, in hexadecimal."""
        return text_digest(self.text)


class ConfigurationController:
    """Follows the configuration stream and looks up sections in its state.

    Attributes
    ----------
    follower : StreamFollower of ConfigurationFold
        Position, freshness and state of the configuration stream.
    """

    def __init__(
        self,
        log: Log,
        peer_snapshot: Callable[[str], Snapshot | None] | None = None,
    ) -> None:
        self.follower = StreamFollower(
            log,
            CONFIGURATION_STREAM,
            ConfigurationFold(),
            peer_snapshot=peer_snapshot,
            poll_timing=_poll_timing,
        )

    def __enter__(self) -> Self:
        """Start following the stream."""
        self.follower.__enter__()
        return self

    def __exit__(self, *exc_info: object) -> None:
        """Stop following."""
        self.follower.__exit__(*exc_info)

    def require_configuration(self) -> None:
        """Raise `UnavailableError` if no configuration has been read yet."""
        if not self.follower.has_state():
            raise UnavailableError(
                'no configuration yet', step=_STEP, retry_after_s=_RETRY_AFTER_S
            )

    def sections(self, section_type: type[SectionT]) -> tuple[SectionT, ...]:
        """Return the sections of a type, sorted by name."""
        kind = section_kind(section_type)
        with self.follower.changed:
            found = self.follower.fold.sections.of_kind(kind)
        parsed = (found[name] for name in sorted(found))
        return tuple(part for part in parsed if isinstance(part, section_type))

    def in_force(self) -> ConfigurationInForce:
        """Return the text in force and the offset up to which it was read."""
        with self.follower.changed:
            fold = self.follower.fold
            sections, next_offset = fold.sections.copy(), fold.next_offset
        return ConfigurationInForce(sections.text(), next_offset)

    def verdict(self, publish_id: str) -> PublishVerdict | None:
        """Return the verdict on a publish; None if it has not been read yet."""
        with self.follower.changed:
            return self.follower.fold.verdicts.get(publish_id)

    def verdicts(self) -> tuple[PublishVerdict, ...]:
        """Return the verdicts on the latest publishes, in log order."""
        with self.follower.changed:
            return tuple(self.follower.fold.verdicts.values())

    def workspace(self, name: str) -> Workspace | None:
        """Return a workspace by name."""
        section = self._section(f'workspaces/{name}')
        return section if isinstance(section, Workspace) else None

    def key(self, name: str) -> Key | None:
        """Return a key by name."""
        section = self._section(f'keys/{name}')
        return section if isinstance(section, Key) else None

    def adapter(self, name: str) -> Adapter | None:
        """Return an adapter by name."""
        section = self._section(f'adapters/{name}')
        return section if isinstance(section, Adapter) else None

    def group(self, name: str) -> EndpointGroup | None:
        """Return an endpoint group by name."""
        section = self._section(f'groups/{name}')
        return section if isinstance(section, EndpointGroup) else None

    def route(self, name: str) -> Route | None:
        """Return a route by name."""
        section = self._section(f'routes/{name}')
        return section if isinstance(section, Route) else None

    def dump(self) -> Mapping[str, Any]:
        """Return the position, the number of sections and of skipped records."""
        with self.follower.changed:
            fold = self.follower.fold
            return {
                **self.follower.dump(),
                'sections': len(fold.sections),
                'skipped_records': fold.skipped_records,
            }

    def _section(self, identity: str) -> Any:
        with self.follower.changed:
            return self.follower.fold.sections.get(identity)
