"""The operator file's `partners` as typed values; its keys are defined in operator/schema.cue."""

from collections.abc import Mapping
from dataclasses import dataclass
from typing import Any

from hillchute.history.retention import MS
from hillchute.partners.offers import Offer
from hillchute.partners.signatures import Verify, ed25519_verifier


@dataclass(frozen=True, slots=True, kw_only=True)
class PartnerMember:
    """One partner, the same in the operator files of all routers."""

    name: str
    public_key: bytes  # Ed25519
    routers: tuple[str, ...]  # by their names under `peers`
    zones: frozenset[str]  # of its engines, by their names in the settings; empty: any
    kinds: frozenset[str]  # likewise


@dataclass(frozen=True, slots=True, kw_only=True)
class PartnerSettings:
    """The partners, and the settings of the one router that signs for its own partner."""

    own: str  # the partner that this router belongs to
    members: tuple[PartnerMember, ...]
    offer: Offer | None
    key_file: str | None  # the private key; None: this router does not sign
    journal_file: str | None  # the signature journal
    gives_notice: bool  # the own partner terminates the current agreement

    @classmethod
    def from_operator_file(cls, section: Mapping[str, Any]) -> "PartnerSettings":
        """Converts the section `partners`, which operator/reading.py has validated."""
        offer = section.get("offer")
        return cls(
            own=section["own"],
            members=tuple(_member(member) for member in section["members"]),
            offer=None if offer is None else _offer(section["own"], offer),
            key_file=section.get("key_file"),
            journal_file=section.get("marks_file"),
            gives_notice=section.get("leave", False),
        )

    def needs_restart(self, other: "PartnerSettings") -> list[str]:
        """The paths of the differences to `other` that can't be applied while the router runs."""
        fixed = {
            "own": self.own != other.own,
            "key_file": self.key_file != other.key_file,
            "marks_file": self.journal_file != other.journal_file,
        }
        return [f"partners.{key}" for key, differs in fixed.items() if differs]

    @property
    def routers(self) -> dict[str, tuple[str, ...]]:
        """The routers of each partner."""
        return {member.name: member.routers for member in self.members}

    @property
    def verifier(self) -> Verify:
        """The verifier of signatures with the partners' public keys."""
        return ed25519_verifier({member.name: member.public_key for member in self.members})


def _member(member: Mapping[str, Any]) -> PartnerMember:
    return PartnerMember(
        name=member["name"],
        public_key=bytes.fromhex(member["key"]),
        routers=tuple(member["routers"]),
        zones=frozenset(member["zones"]),
        kinds=frozenset(member["kinds"]),
    )


def _offer(partner: str, offer: Mapping[str, Any]) -> Offer:
    return Offer(
        partner=partner,
        revision=offer["turn"],
        capacity=offer["capacity"],
        desired_share=offer["want"],
        minimum_share=offer["least"],
        maximum_share=offer["most"],
        starts_at=offer["begins_ms"] * MS,
        ends_at=offer["ends_ms"] * MS,
        grace_period=offer["grace_ms"] * MS,
        notice_period=offer["notice_ms"] * MS,
    )
