"""Questions to all VMs over the peer protocol."""

import json
from datetime import timedelta
from pathlib import Path
from typing import Any

import gevent
from attrs import frozen
from bramleyrill_base import SystemClock
from bramleyrill_core import VmIdentity
from bramleyrill_daemon.peers import HelloError, PeerLostError, PeerNet
from bramleyrill_daemon.platform import PlatformClient
from bramleyrill_wire.peers import frames
from gevent.pool import Pool

ANSWER_TIMEOUT = timedelta(seconds=3)
# Connections open at once, so that 1,200 VMs are asked in a few seconds.
CONCURRENCY = 64


@frozen
class VmAnswer:
    """What one VM answered; `body` is None when it did not."""

    vm: str
    domain: str
    state: str
    body: Any


def ask_vms(platform: str, key_file: Path, what: str) -> list[VmAnswer]:
    """Ask every VM of the platform's list for `what` and return the answers by VM id."""
    listed = PlatformClient(platform).list_vms()
    identity = VmIdentity("operator", "", "")
    key = key_file.read_text().strip().encode()
    net = PeerNet(identity, key, SystemClock(), lambda vm: None, _take_push)
    pool = Pool(CONCURRENCY)
    answers = pool.map(lambda vm: _ask(net, vm, what), listed)
    net.close()
    return sorted(answers, key=lambda answer: answer.vm)


def _ask(net: PeerNet, vm: dict[str, Any], what: str) -> VmAnswer:
    body = None
    try:
        with gevent.Timeout(ANSWER_TIMEOUT.total_seconds(), TimeoutError("no answer")):
            link = net.dial(vm["host"], vm["port"])
            answer = link.call(lambda call: frames.StatusPull(call=call, what=what), ANSWER_TIMEOUT)
        body = json.loads(answer.body)
    except (OSError, HelloError, PeerLostError, ValueError):
        pass
    return VmAnswer(vm["id"], vm["domain"], vm["state"], body)


def _take_push(link: Any, frame: Any) -> None:
    if type(frame) is frames.StatusPush:
        link.handle_answer(frame)
