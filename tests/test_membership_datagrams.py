"""Tests of the authentication and replay protection of datagrams."""

from __future__ import annotations

import itertools

import testscenarios
import testtools

from cyclamendale import ids
from cyclamendale.membership import datagram_auth
from cyclamendale.membership import link
from cyclamendale.membership import wire
from cyclamendale.peer.generated.membership import ttypes

ONE = ids.NodeId("10.0.0.1:700#aa")
OTHER = ids.NodeId("10.0.0.2:700#bb")
THIRD = ids.NodeId("10.0.0.3:700#cc")
Reason = datagram_auth.DropReason


def ping(sequence=1):
    return ttypes.MembershipDatagram(
        kind=wire.DatagramKind.PING, sender=ONE, sequence=sequence, digest=0
    )


class LinkEnd:
    """One end of a link; records the datagrams that it sends."""

    _nonces = itertools.count(1)

    def __init__(self, node, secret=b"secret"):
        self.sent = []
        self.authenticator = datagram_auth.Authenticator(
            secret, ids.address_of(node), lambda: next(LinkEnd._nonces)
        )
        self.link = link.AuthenticatedLink(
            node, self.authenticator, lambda to, data: self.sent.append(data)
        )
        self.address = ids.address_of(node)

    def take_sent(self):
        """Returns the datagrams sent since the last call."""
        sent, self.sent = self.sent, []
        return sent

    def open_all(self, datagrams):
        opened = (self.link.open(data) for data in datagrams)
        return [datagram.sequence for datagram in opened if datagram]


class LinkCase(testtools.TestCase):
    def setUp(self):
        super().setUp()
        self.one, self.other = LinkEnd(ONE), LinkEnd(OTHER)

    def exchange_nonces(self):
        """Runs the challenge until both ends know each other's nonce."""
        self.one.link.send(self.other.address, ping(0))
        self.other.open_all(self.one.take_sent())
        self.one.open_all(self.other.take_sent())
        return self.other.open_all(self.one.take_sent())

    def sealed(self, datagram=None):
        self.one.link.send(self.other.address, datagram or ping())
        return self.one.take_sent()[-1]


def _flip_last_bit(case):
    data = case.sealed()
    return data[:-1] + bytes([data[-1] ^ 1])


def _wrong_secret(case):
    case.one = LinkEnd(ONE, b"another secret")
    return case.sealed()


def _for_another_receiver(case):
    case.one.link.send(ids.address_of(THIRD), ping())
    return case.one.take_sent()[-1]


def _replayed(case):
    data = case.sealed()
    case.other.link.open(data)
    return data


def _recorded_before_restart(case):
    data = case.sealed()
    case.other = LinkEnd(OTHER)
    return data


def _behind_replay_window(case):
    data = case.sealed()
    for _ in range(datagram_auth.WINDOW_DATAGRAMS):
        case.other.link.open(case.sealed())
    return data


def _with_payload(case, payload):
    mac = case.other.authenticator._mac(case.other.address, payload)
    return mac + payload


def _unknown_version(case):
    data = bytearray(case.sealed()[datagram_auth.MAC_BYTES :])
    data[3] = 99  # Value after the type and number of the first field.
    return _with_payload(case, bytes(data))


def _missing_fields(case):
    datagram = ttypes.MembershipDatagram(version=wire.FORMAT_VERSION)
    return _with_payload(case, wire.encode_struct(datagram))


def _unknown_kind(case):
    datagram = ping()
    datagram.kind = 77
    return case.sealed(datagram)


class BadDatagramTest(testscenarios.WithScenarios, LinkCase):
    scenarios = [
        (name, {"make": make, "reason": reason})
        for name, make, reason in (
            ("empty", lambda case: b"", Reason.TRUNCATED),
            ("mac only", lambda case: b"x" * 16, Reason.TRUNCATED),
            ("garbage", lambda case: b"\xff\x80" * 99, Reason.WRONG_MAC),
            ("oversized", lambda case: b"x" * 1_401, Reason.OVERSIZED),
            ("cut off", lambda case: case.sealed()[:-9], Reason.WRONG_MAC),
            ("flipped bit", _flip_last_bit, Reason.WRONG_MAC),
            ("wrong secret", _wrong_secret, Reason.WRONG_MAC),
            ("for another receiver", _for_another_receiver, Reason.WRONG_MAC),
            ("replay", _replayed, Reason.REPLAYED),
            (
                "replay to a new process",
                _recorded_before_restart,
                Reason.UNPROVEN,
            ),
            ("older than the window", _behind_replay_window, Reason.REPLAYED),
            (
                "authentic garbage",
                lambda case: _with_payload(case, b"\x0b" * 9),
                Reason.MALFORMED,
            ),
            ("fields missing", _missing_fields, Reason.MALFORMED),
            ("unknown kind", _unknown_kind, Reason.MALFORMED),
            ("unknown version", _unknown_version, Reason.UNKNOWN_VERSION),
        )
    ]

    def test_datagram_is_dropped_and_counted(self):
        self.exchange_nonces()
        data = self.make(self)
        before = self.other.link.counters.dropped[self.reason]
        self.assertIsNone(self.other.link.open(data))
        dropped = self.other.link.counters.dropped
        self.assertEqual(before + 1, dropped[self.reason])


class LinkTest(LinkCase):
    def test_first_contact_takes_one_challenge(self):
        self.assertEqual([0], self.exchange_nonces())

    def test_after_first_contact_there_is_no_challenge(self):
        self.exchange_nonces()
        self.assertEqual([1], self.other.open_all([self.sealed()]))
        self.assertEqual([], self.other.take_sent())

    def test_reordered_datagrams_are_accepted_once(self):
        self.exchange_nonces()
        sealed = [self.sealed(ping(number)) for number in (1, 2, 3)]
        opened = self.other.open_all(sealed[::-1] + sealed)
        self.assertEqual([3, 2, 1], opened)

    def test_a_restarted_receiver_gets_the_datagram_after_a_challenge(self):
        self.exchange_nonces()
        data = self.sealed(ping(5))
        self.other = LinkEnd(OTHER)
        self.assertEqual([], self.other.open_all([data]))
        self.one.open_all(self.other.take_sent())
        self.assertEqual([5], self.other.open_all(self.one.take_sent()))

    def test_a_replay_does_not_replace_the_learned_nonce(self):
        self.exchange_nonces()
        old = self.sealed()
        self.one, self.other = LinkEnd(ONE), LinkEnd(OTHER)
        self.exchange_nonces()
        self.other.open_all([old])
        self.other.take_sent()
        answer = ping(7)
        answer.sender = OTHER
        self.other.link.send(self.one.address, answer)
        self.assertEqual([7], self.one.open_all(self.other.take_sent()))

    def test_a_challenge_is_never_answered_by_a_challenge(self):
        self.exchange_nonces()
        data = _recorded_before_restart(self)
        self.other.link.open(data)
        challenge = self.other.take_sent()[0]
        self.one = LinkEnd(ONE)
        self.one.link.open(challenge)
        self.assertEqual([], self.one.take_sent())

    def test_clearing_the_windows_replaces_the_nonce(self):
        self.exchange_nonces()
        old = self.sealed()
        self.other.link.open(old)
        for nonce in range(datagram_auth.MAX_WINDOWS):
            self.other.authenticator._add_window(-nonce - 1)
        self.assertEqual([], self.other.open_all([old]))
        dropped = self.other.link.counters.dropped
        self.assertEqual(1, dropped[Reason.UNPROVEN] - 1)

    def test_an_entry_with_an_unknown_state_is_an_error(self):
        entry = ttypes.MemberEntry(
            node=ONE, failure_domain="a", incarnation=1, state=9
        )
        decoded = wire.decode_update(wire.encode_struct(entry))
        self.assertTrue(decoded.is_error())
