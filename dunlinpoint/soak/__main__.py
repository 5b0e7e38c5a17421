"""``python -m dunlinpoint.soak``."""

from dunlinpoint.soak import run

if __name__ == "__main__":
    run.main()
