"""Limits in the headers of upstreams, which may be faulty."""

from __future__ import annotations

import testtools

from cyclamendale.proxy import stated_limit


class DecodeTest(testtools.TestCase):
    scenarios = [
        (f"{values!r:.60}", {"values": values, "limit_per_s": limit_per_s})
        for values, limit_per_s in (
            ([], None),
            ([b"23.6"], 23.6),
            ([b"0"], 0.0),
            ([b" 5 "], 5.0),
            ([b"9", b"3"], 3.0),
            ([b"9, 3"], 3.0),
            ([b"nan", b"3"], 3.0),
            ([b"nan"], None),
            ([b"inf"], None),
            ([b"-1"], None),
            ([b"+1"], None),
            ([b"1e400"], None),
            ([b"1e2"], None),
            ([b""], None),
            ([b"many"], None),
            ([b"1.2.3"], None),
            ([b"1_0"], None),
            ([b"9" * 100_000], None),
            ([b"\xd9\xa1"], None),
        )
    ]

    def test_only_decimal_numbers_are_limits(self):
        self.assertEqual(self.limit_per_s, stated_limit.decode(self.values))
