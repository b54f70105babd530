"""Peer messages about shares and grants, and the handlers of the calls."""

from __future__ import annotations

from collections.abc import Callable, Iterable, Mapping
from typing import Any

from pimentohoist._controllers.owned_shares import OwnedShares
from pimentohoist._decisions.shares import Grant, GrantOrder, GrantUse, ShareState
from pimentohoist._decisions.ownership_terms import FinalState, ShareId
from pimentohoist._generated import peer_pb2

_MS_PER_S = 1000


class ShareService:
    """Handles other daemons' calls on shares that this daemon owns."""

    def __init__(self, owned_shares: OwnedShares) -> None:
        self.owned_shares = owned_shares

    def peer_methods(self) -> Mapping[str, Callable[[Any], Any]]:
        """Return the handlers of peer calls by method."""
        return {
            'TakeGrant': self._take_grant,
            'ReturnGrant': self._return_grant,
            'HandOverShare': self._receive_share,
            'PullShare': self._pull_share,
        }

    def _take_grant(self, request: peer_pb2.GrantRequest) -> peer_pb2.GrantReply:
        order = GrantOrder(request.grant_id, request.at_least_tokens, request.tokens)
        share_id = ShareId(request.workspace, request.share)
        grant = self.owned_shares.grant(share_id, order, read_uses(request.uses))
        return peer_pb2.GrantReply(
            grant_id=grant.grant_id,
            tokens=grant.tokens,
            expires_after_ms=int(grant.expires_after_s * _MS_PER_S),
        )

    def _return_grant(self, request: peer_pb2.GrantReturn) -> peer_pb2.Acknowledgement:
        share_id = ShareId(request.workspace, request.share)
        self.owned_shares.record_uses(share_id, read_uses(request.uses))
        return peer_pb2.Acknowledgement(accepted=True)

    def _receive_share(
        self, request: peer_pb2.ShareHandover
    ) -> peer_pb2.Acknowledgement:
        share_id = ShareId(request.workspace, request.share)
        self.owned_shares.receive(
            share_id, request.sender.incarnation, read_state(request)
        )
        return peer_pb2.Acknowledgement(accepted=True)

    def _pull_share(self, request: peer_pb2.SharePull) -> peer_pb2.ShareHandover:
        share_id = ShareId(request.workspace, request.share)
        return write_state(
            share_id, self.owned_shares.close(share_id, request.sender.epoch)
        )


def read_uses(messages: Iterable[peer_pb2.GrantUse]) -> tuple[GrantUse, ...]:
    """Decode uses of grants."""
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
    """Encode uses of grants."""
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
    """Decode the state of a share."""
    grants = (
        Grant(grant.grant_id, grant.tokens, grant.expires_after_ms / _MS_PER_S)
        for grant in message.open_grants
    )
    return ShareState(message.level_tokens, tuple(grants))


def write_state(share_id: ShareId, final_state: FinalState) -> peer_pb2.ShareHandover:
    """Encode the final state of a share's term."""
    state = final_state.state
    if state is None:
        return peer_pb2.ShareHandover(
            workspace=share_id.workspace,
            share=share_id.share,
            has_never_begun=final_state.has_never_begun,
        )
    return peer_pb2.ShareHandover(
        workspace=share_id.workspace,
        share=share_id.share,
        is_held=True,
        level_tokens=state.level_tokens,
        open_grants=[
            peer_pb2.OpenGrant(
                grant_id=grant.grant_id,
                tokens=grant.tokens,
                expires_after_ms=int(grant.expires_after_s * _MS_PER_S) + 1,
            )
            for grant in state.open_grants
        ],
    )
