"""The acceptor's durable state: one JSON file under the data folder.

A promise or acceptance is valid only once it is on disk: before the answer is
sent, the file is written under a temporary name, flushed and synced, renamed over
the old one, and the folder is synced. A crash at any point leaves either the old
file or the new one, never a partial one.

Without a data folder the state is in memory only; such a control instance must
not be an acceptor, since its promises are lost when it stops.
"""

import json
import os

import attrs

FILE_NAME = "control-state.json"


class StoreError(Exception):
    """The data folder could not be read or written."""


@attrs.define
class Store:
    """The state file in *folder* (``None``: nothing is stored)."""

    folder: str | None

    @property
    def path(self):
        return os.path.join(self.folder, FILE_NAME) if self.folder else None

    def load(self):
        """The saved state as a dict, or ``None``; raises ``StoreError``."""
        if not self.folder or not os.path.exists(self.path):
            return None
        try:
            with open(self.path) as saved:
                return json.load(saved)
        except (OSError, ValueError) as exc:
            raise StoreError(f"cannot read {self.path}: {exc}") from exc

    def save(self, state):
        """Write *state*, a JSON-serialisable dict, durably; raises ``StoreError``."""
        if not self.folder:
            return
        temporary = self.path + ".new"
        try:
            os.makedirs(self.folder, exist_ok=True)
            with open(temporary, "w") as out:
                json.dump(state, out)
                out.flush()
                os.fsync(out.fileno())
            os.replace(temporary, self.path)
            folder = os.open(self.folder, os.O_RDONLY)
            try:
                os.fsync(folder)
            finally:
                os.close(folder)
        except OSError as exc:
            raise StoreError(f"cannot write {self.path}: {exc}") from exc
