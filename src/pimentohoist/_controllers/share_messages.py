"""Messages between the homes of shares and the takers of grants."""

from __future__ import annotations

from collections.abc import Callable, Iterable, Mapping
from typing import Any

from pimentohoist._controllers.owned_shares import OwnedShares
from pimentohoist._decisions.shares import Grant, GrantOrder, GrantUse, ShareState
from pimentohoist._decisions.ownership_terms import FinalState, ShareId
from pimentohoist._generated import peer_pb2

_MS = 1000


class ShareAnswers:
    """Answers other daemons' calls on shares at home here."""

    def __init__(self, owners: OwnedShares) -> None:
        self.owners = owners

    def peer_methods(self) -> Mapping[str, Callable[[Any], Any]]:
        """Return the functions that answer other daemons."""
        return {
            'TakeGrant': self._take_grant,
            'ReturnGrant': self._return_grant,
            'HandOverShare': self._receive_share,
            'PullShare': self._pull_share,
        }

    def _take_grant(self, request: peer_pb2.GrantRequest) -> peer_pb2.GrantReply:
        order = GrantOrder(request.grant_id, request.at_least_tokens, request.tokens)
        name = ShareId(request.workspace, request.share)
        grant = self.owners.order(name, order, read_uses(request.uses))
        return peer_pb2.GrantReply(
            grant_id=grant.grant_id,
            tokens=grant.tokens,
            expires_after_ms=int(grant.expires_after_s * _MS),
        )

    def _return_grant(self, request: peer_pb2.GrantReturn) -> peer_pb2.Acknowledgement:
        name = ShareId(request.workspace, request.share)
        self.owners.record_uses(name, read_uses(request.uses))
        return peer_pb2.Acknowledgement(accepted=True)

    def _receive_share(
        self, request: peer_pb2.ShareHandover
    ) -> peer_pb2.Acknowledgement:
        name = ShareId(request.workspace, request.share)
        self.owners.receive(name, request.sender.incarnation, read_state(request))
        return peer_pb2.Acknowledgement(accepted=True)

    def _pull_share(self, request: peer_pb2.SharePull) -> peer_pb2.ShareHandover:
        name = ShareId(request.workspace, request.share)
        return write_state(name, self.owners.close(name, request.sender.epoch))


def read_uses(messages: Iterable[peer_pb2.GrantUse]) -> tuple[GrantUse, ...]:
    """Return reports from their messages."""
    return tuple(
        GrantUse(
            message.grant_id,
            message.spent_tokens,
            message.refunded_tokens,
            is_closed=message.is_closed,
        )
        for message in messages
    )


def write_uses(uses: Iterable[GrantUse]) -> tuple[peer_pb2.GrantUse, ...]:
    """Return the messages of reports."""
    return tuple(
        peer_pb2.GrantUse(
            grant_id=use.grant_id,
            spent_tokens=use.spent_tokens,
            refunded_tokens=use.refunded_tokens,
            is_closed=use.is_closed,
        )
        for use in uses
    )


def read_state(message: peer_pb2.ShareHandover) -> ShareState:
    """Return a share's state from its message."""
    grants = (
        Grant(grant.grant_id, grant.tokens, grant.expires_after_ms / _MS)
        for grant in message.open_grants
    )
    return ShareState(message.level_tokens, tuple(grants))


def write_state(name: ShareId, last: FinalState) -> peer_pb2.ShareHandover:
    """Return the message of what a share's tenure leaves behind."""
    state = last.state
    if state is None:
        return peer_pb2.ShareHandover(
            workspace=name.workspace,
            share=name.share,
            has_never_begun=last.has_never_begun,
        )
    return peer_pb2.ShareHandover(
        workspace=name.workspace,
        share=name.share,
        is_held=True,
        level_tokens=state.level_tokens,
        open_grants=[
            peer_pb2.OpenGrant(
                grant_id=grant.grant_id,
                tokens=grant.tokens,
                expires_after_ms=int(grant.expires_after_s * _MS) + 1,
            )
            for grant in state.open_grants
        ],
    )
