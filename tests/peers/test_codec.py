"""Tests of the peer frame codec."""

import unittest

from bramleyrill_wire.peers import FrameBuffer, FrameError, encode, frames


class FrameBufferTest(unittest.TestCase):
    """Guards against frames that are lost or merged when the network splits them."""

    def test_frames_cut_at_every_byte_come_out_whole(self):
        sent = [frames.Data(stream=1, request=2, frames=b"\xff\x00tail"), frames.Ping(sequence=3)]
        stream = b"".join(map(encode, sent))
        for cut in range(len(stream)):
            buffer = FrameBuffer()
            self.assertEqual(buffer.feed(stream[:cut]) + buffer.feed(stream[cut:]), sent)

    def test_binary_that_is_valid_text_stays_bytes(self):
        (frame,) = FrameBuffer().feed(encode(frames.Data(stream=1, request=1, frames=b"abc")))
        self.assertEqual(frame.frames, b"abc")

    def test_zero_oversized_and_malformed_frames_are_refused(self):
        for data in (
            b"\0\0\0\0\x04",
            b"\xff\xff\xff\xff\x04",
            b"\0\0\0\x02\xff\0",
            b"\0\0\0\x06\x04\x0b\xff\xff\xff\x7f",
        ):
            with self.assertRaises(FrameError):
                FrameBuffer().feed(data)
