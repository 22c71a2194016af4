"""Datagrams between the hosts that ask for permits and the homes of quotas."""

from __future__ import annotations

from typing import TypeAlias

import msgspec

from cyclamendale import decoding
from cyclamendale import ids
from cyclamendale.quotas import spendings as spendings_module

PERMIT_DATAGRAM = 10
"""First byte of these datagrams; see `report_codec.DatagramKind`."""

_DEMAND_STEPS = 10.0
_LEVEL_STEPS = 10.0
"""Steps per unit in which demands and levels are told."""

GRANTED = -1.0
"""Wait that states that the request is admitted."""

UNKNOWN_CUSTOMER = -2.0
"""Wait that states that the asked host knows no quota of the customer, since it
has no configuration or an older one; another home is to be asked."""


class Ask(msgspec.Struct, frozen=True, array_like=True, tag=1):
    """Asks a home to admit one request of a customer.

    Attributes:
        sender: Address for the answer.
        ask_id: Number that the answer repeats.
        customer: The customer.
        arrivals: Requests since the last one that was asked for.
    """

    sender: ids.PeerAddress
    ask_id: int
    customer: ids.CustomerId
    arrivals: int


class Answer(msgspec.Struct, frozen=True, array_like=True, tag=2):
    """Admits or refuses one request.

    Attributes:
        ask_id: Number of the ask.
        customer: The customer.
        wait_s: Time after which to retry, or one of the constants.
    """

    ask_id: int
    customer: ids.CustomerId
    wait_s: float


class Refund(msgspec.Struct, frozen=True, array_like=True, tag=3):
    """Returns the permit of a request that certainly did not run.

    Attributes:
        customer: The customer.
    """

    customer: ids.CustomerId


class SpendingNews(msgspec.Struct, frozen=True):
    """Tells other homes what one home admitted.

    Attributes:
        sender: The home.
        spendings: Usage by customer.
    """

    sender: spendings_module.Sender
    spendings: list[spendings_module.Spending]


PermitMessage: TypeAlias = Ask | Answer | Refund | SpendingNews


class _PackedSpending(msgspec.Struct, frozen=True, array_like=True):
    """`spendings.Spending` in small integers."""

    customer: ids.CustomerId
    admitted: int
    news: int
    demand_steps: int
    level_steps: int


class _PackedNews(msgspec.Struct, frozen=True, array_like=True, tag=4):
    """`SpendingNews` with packed spendings."""

    sender: spendings_module.Sender
    spendings: list[_PackedSpending]


_PackedMessage: TypeAlias = Ask | Answer | Refund | _PackedNews

_encoder = msgspec.msgpack.Encoder()
_decoder: msgspec.msgpack.Decoder[_PackedMessage] = msgspec.msgpack.Decoder(
    _PackedMessage
)


def encode(message: PermitMessage) -> bytes:
    """Encodes a message as a datagram."""
    packed: _PackedMessage
    if isinstance(message, SpendingNews):
        packed = _PackedNews(
            message.sender, [_pack(each) for each in message.spendings]
        )
    else:
        packed = message
    return bytes((PERMIT_DATAGRAM,)) + _encoder.encode(packed)


def decode(datagram: bytes) -> PermitMessage | None:
    """Decodes a datagram; returns None if it is not a valid one."""
    try:
        message = _decoder.decode(datagram[1:])
    except decoding.ERRORS:
        return None
    if isinstance(message, _PackedNews):
        return SpendingNews(
            message.sender, [_unpack(each) for each in message.spendings]
        )
    return message


def _pack(spending: spendings_module.Spending) -> _PackedSpending:
    return _PackedSpending(
        spending.customer,
        spending.admitted,
        spending.news,
        round(spending.demand_per_s * _DEMAND_STEPS),
        round(spending.level * _LEVEL_STEPS),
    )


def _unpack(packed: _PackedSpending) -> spendings_module.Spending:
    return spendings_module.Spending(
        packed.customer,
        packed.admitted,
        packed.news,
        packed.demand_steps / _DEMAND_STEPS,
        packed.level_steps / _LEVEL_STEPS,
    )
