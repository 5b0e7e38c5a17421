"""Settings files that change under a running process."""

import json

from dunlinpoint.platform import settings


def write(path, *seeds):
    path.write_text(json.dumps({"seeds": list(seeds)}))


def test_new_seeds_are_heard_of_and_bad_files_change_nothing(tmp_path):
    # Guards against a process that finds no control any more after it was
    # disconnected while all controls were replaced, because it read its settings
    # only at start. The file changes without a signal, and is once read half written.
    path = tmp_path / "settings.json"
    write(path, "10.0.0.1:7000")
    heard = []
    watched = settings.Watch(str(path), heard.append)
    watched.look()
    assert heard == []
    path.write_text('{"seeds": ["10.0')
    watched.look()
    write(path, "10.0.0.9:7000", "10.0.0.8:7000")
    watched.look()
    watched.look()
    assert heard == [[("10.0.0.9", 7000), ("10.0.0.8", 7000)]]
    path.unlink()
    watched.look()
    assert len(heard) == 1
