"""The committed frame classes match the thrift files."""

import importlib
import unittest

from bramleyrill_wire import generate


def describe(module):
    """Return the fields of each struct; structs inside a field are given by their names."""

    def plain(spec):
        if isinstance(spec, tuple):
            return tuple(map(plain, spec))
        return spec.__name__ if isinstance(spec, type) else spec

    structs = {
        name: cls
        for name, cls in vars(module).items()
        if isinstance(cls, type) and hasattr(cls, "thrift_spec") and name != "TPayload"
    }
    return {
        name: {id: plain(field) for id, field in cls.thrift_spec.items()}
        for name, cls in structs.items()
    }


class GeneratedTest(unittest.TestCase):
    def test_frames_match_the_thrift_file(self):
        """A changed thrift file without generated classes would change nothing on the wire."""
        for protocol in generate.PROTOCOLS:
            committed = importlib.import_module(f"bramleyrill_wire.{protocol}._frames")
            expected = generate.load(protocol)
            self.assertEqual(describe(committed), describe(expected), protocol)
            kinds = expected.FrameKind._VALUES_TO_NAMES
            self.assertEqual(committed.FrameKind._VALUES_TO_NAMES, kinds)

    def test_new_frame_has_its_fields_empty(self):
        for protocol in generate.PROTOCOLS:
            committed = importlib.import_module(f"bramleyrill_wire.{protocol}._frames")
            for cls in generate.structs_of(generate.load(protocol)):
                frame = getattr(committed, cls.__name__)()
                self.assertEqual(vars(frame), vars(cls()))
