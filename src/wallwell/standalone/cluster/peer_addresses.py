"""Leaves out of received messages what names an address that is none, before anything is sent there.

A message holds what its sender heard of others, so one entry that cannot be used must not cost the rest of it.
"""

from __future__ import annotations

import msgspec

from wallwell.address import InvalidAddressError, parse_address
from wallwell.errors import ClusterMessageError
from wallwell.standalone.cluster.messages import (
    ClusterMessage,
    IndirectProbe,
    MemberRecord,
    RegionExchange,
    RegionSummary,
    SyncReply,
)
from wallwell.standalone.unreadable import UnreadableEntries


class PeerAddresses:
    """Checks the addresses in messages; logs what is left out, once a change."""

    def __init__(self) -> None:
        self._members = UnreadableEntries("members in gossip")
        self._regions = UnreadableEntries("regions in gossip")

    def check(self, message: ClusterMessage) -> ClusterMessage:
        """Return the message without entries that cannot be used.

        Raises :class:`ClusterMessageError` if nothing of it can.
        """
        match message:
            case SyncReply(records=records) if records:
                return msgspec.structs.replace(message, records=tuple(filter(self._is_usable, records)))
            case RegionExchange(summaries=summaries):
                checked = (self._with_usable_contacts(each) for each in summaries)
                return msgspec.structs.replace(message, summaries=tuple(each for each in checked if each.contacts))
            case IndirectProbe(address=address):
                _require_address(address)
        return message

    def _is_usable(self, record: MemberRecord) -> bool:
        try:
            parse_address(record.address)
        except InvalidAddressError as error:
            self._members.report(record.node, error)
            return False
        self._members.forget(record.node)
        return True

    def _with_usable_contacts(self, summary: RegionSummary) -> RegionSummary:
        usable: list[str] = []
        unusable: InvalidAddressError | None = None
        for contact in summary.contacts:
            try:
                parse_address(contact)
            except InvalidAddressError as error:
                unusable = error
            else:
                usable.append(contact)
        if unusable is None:
            self._regions.forget(summary.region)
            return summary
        self._regions.report(summary.region, unusable)
        return msgspec.structs.replace(summary, contacts=tuple(usable))


def _require_address(text: str) -> None:
    try:
        parse_address(text)
    except InvalidAddressError as error:
        raise ClusterMessageError(str(error)) from error
