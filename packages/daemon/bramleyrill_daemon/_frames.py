"""Dispatch of peer frames outside open streams: each type has one handler."""

from collections.abc import Callable
from typing import Any

from bramleyrill_base import log_event
from bramleyrill_wire.peers import frames

from bramleyrill_daemon._peer_link import PeerLink
from bramleyrill_daemon._shell import Shell

FrameHandler = Callable[[Shell, PeerLink, Any], None]

_handlers: dict[type, FrameHandler] = {}

_ANSWERS = (frames.TextPush, frames.StatusPush, frames.PrimarySeenAnswer, frames.ObjectPush)


def handles(kind: type) -> Callable[[FrameHandler], FrameHandler]:
    """Register the handler of frames of `kind`; it must not block.

    Raise ValueError if the kind has a handler already.
    """

    def decorate(function: FrameHandler) -> FrameHandler:
        if kind in _handlers:
            raise ValueError(f"frame {kind.__name__} has two handlers")
        _handlers[kind] = function
        return function

    return decorate


def frame_dispatcher(shell: Shell) -> Callable[[PeerLink, Any], None]:
    """Return the `on_frame` function of a PeerNet, which calls the registered handlers."""

    def dispatch(link: PeerLink, frame: Any) -> None:
        kind = type(frame)
        if kind in _ANSWERS:
            link.handle_answer(frame)
            return
        handler = _handlers.get(kind)
        if handler is None:
            log_event("frame_without_taker", vm=link.vm, frame=kind.__name__)
            return
        try:
            handler(shell, link, frame)
        except Exception as error:
            # One bad frame must not close the link, which carries the streams of many sessions.
            log_event("frame_failed", vm=link.vm, frame=kind.__name__, error=repr(error))

    return dispatch
