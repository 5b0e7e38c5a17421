"""Settings files that change under a running process."""

import json

from dunlinpoint.platform import settings


def write(path, *seeds):
    path.write_text(json.dumps({"seeds": list(seeds)}))


def test_new_seeds_are_reported_and_invalid_files_are_ignored(tmp_path):
    # Guards against a process that finds no control any more after it was
    # disconnected while all controls were replaced, because it read its settings
    # only at start. The file changes without a signal, and is once read half written.
    path = tmp_path / "settings.json"
    write(path, "10.0.0.1:7000")
    reported = []
    watcher = settings.SeedsWatcher(str(path), reported.append)
    watcher.poll()
    assert reported == []
    path.write_text('{"seeds": ["10.0')
    watcher.poll()
    write(path, "10.0.0.9:7000", "10.0.0.8:7000")
    watcher.poll()
    watcher.poll()
    assert reported == [[("10.0.0.9", 7000), ("10.0.0.8", 7000)]]
    path.unlink()
    watcher.poll()
    assert len(reported) == 1
