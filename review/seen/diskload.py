"""A load on the disk: ``diskload.py SECONDS WRITERS MB``, for a run beside it.

Each writer writes and syncs files of so many MB without a pause. At the end it prints
how long saves took meanwhile: a small file written, synced and renamed, and its folder
synced.
"""

import os
import shutil
import sys
import tempfile
import threading
import time

FILES_PER_WRITER = 4
SAVE_INTERVAL_S = 0.05
SAVED = b"x" * 2000
SHARES = (0.5, 0.9, 0.99, 1.0)


def write_synced(path, pieces):
    """Write *pieces* to *path* and sync it."""
    fd = os.open(path, os.O_WRONLY | os.O_CREAT | os.O_TRUNC)
    for piece in pieces:
        os.write(fd, piece)
    os.fsync(fd)
    os.close(fd)


def keep_writing(folder, name, size_mb, end_s):
    """Write files of *size_mb* until *end_s*."""
    block = os.urandom(1 << 20)
    number = 0
    while time.monotonic() < end_s:
        path = os.path.join(folder, f"{name}-{number % FILES_PER_WRITER}")
        write_synced(path, [block] * size_mb)
        number += 1


def save(folder):
    """Save a small file as a control does; how long it took, in s."""
    began_s = time.monotonic()
    path = os.path.join(folder, "state")
    write_synced(f"{path}.new", [SAVED])
    os.replace(f"{path}.new", path)
    fd = os.open(folder, os.O_RDONLY)
    os.fsync(fd)
    os.close(fd)
    return time.monotonic() - began_s


def main():
    seconds, writers, size_mb = (int(text) for text in sys.argv[1:])
    end_s = time.monotonic() + seconds
    folder = tempfile.mkdtemp(prefix="diskload-")
    try:
        threads = [
            threading.Thread(target=keep_writing, args=(folder, n, size_mb, end_s))
            for n in range(writers)
        ]
        for thread in threads:
            thread.start()
        took_s = []
        while time.monotonic() < end_s:
            took_s.append(save(folder))
            time.sleep(SAVE_INTERVAL_S)
        for thread in threads:
            thread.join()
    finally:
        shutil.rmtree(folder)
    took_s.sort()
    figures = [took_s[int((len(took_s) - 1) * share)] for share in SHARES]
    text = ", ".join(
        f"{share:.0%} within {s:.3f} s"
        for share, s in zip(SHARES, figures, strict=True)
    )
    print(f"{len(took_s)} saves: {text}")


if __name__ == "__main__":
    main()
