"""Status queries to all VMs over the peer protocol."""

import json
from datetime import timedelta
from pathlib import Path
from typing import Any

import gevent
from attrs import frozen
from bramleyrill_base import SystemClock
from bramleyrill_core import VmIdentity
from bramleyrill_core.membership import ListedVm
from bramleyrill_daemon.peers import HelloError, PeerLostError, PeerNet
from bramleyrill_daemon.platform import PlatformClient, read_listed_vms
from bramleyrill_wire.peers import frames
from gevent.pool import Pool

QUERY_TIMEOUT = timedelta(seconds=3)
# Number of concurrent connections; enough to query 1,200 VMs within a few seconds.
MAX_CONCURRENT_QUERIES = 64


@frozen
class VmAnswer:
    """The response of one VM; `body` is the JSON object, or None if the VM sent none."""

    vm: str
    domain: str
    state: str
    body: dict[str, Any] | None


def query_vms(platform: str, key_file: Path, what: str) -> list[VmAnswer]:
    """Request `what`, which is `status` or `burn`, from every VM that the platform lists.

    Returns the answers sorted by VM ID; raises PlatformError if the platform cannot be reached.
    Malformed entries of its list are left out.
    """
    vms = read_listed_vms(PlatformClient(platform).list_vms())
    identity = VmIdentity("operator", "", "")
    key = key_file.read_text().strip().encode()
    net = PeerNet(identity, key, SystemClock(), lambda vm: None, _handle_frame)
    pool = Pool(MAX_CONCURRENT_QUERIES)
    answers = pool.map(lambda vm: _query_vm(net, vm, what), vms)
    net.close()
    return sorted(answers, key=lambda answer: answer.vm)


def _query_vm(net: PeerNet, vm: ListedVm, what: str) -> VmAnswer:
    body = None
    try:
        with gevent.Timeout(QUERY_TIMEOUT.total_seconds(), TimeoutError("no answer")):
            link = net.dial(vm.host, vm.port)
            answer = link.call(lambda call: frames.StatusPull(call=call, what=what), QUERY_TIMEOUT)
        body = json.loads(answer.body)
    except (OSError, HelloError, PeerLostError, ValueError):
        pass
    state = "leaving" if vm.leaving else "live"
    return VmAnswer(vm.id, vm.domain, state, body if isinstance(body, dict) else None)


def _handle_frame(link: Any, frame: Any) -> None:
    if type(frame) is frames.StatusPush:
        link.handle_answer(frame)
