"""Options that several commands share."""

from pathlib import Path
from typing import Annotated

from cyclopts import Parameter

PlatformUrl = Annotated[
    str, Parameter(name="--platform", env_var="BRAMLEYRILL_PLATFORM", help="URL of the platform.")
]
KeyFile = Annotated[
    Path,
    Parameter(
        name="--key-file",
        env_var="BRAMLEYRILL_KEY_FILE",
        help="File with the shared key of the VMs.",
    ),
]
