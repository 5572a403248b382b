"""Entry point of one entry instance: ``python3 -m carobhook.entry``."""

import signal


def main() -> None:
    """Run an instance, which SIGHUP does not end, however early it comes.

    The platform may send the signal at any moment, and loading the program takes a while. The
    settings are read after that, and compared with their file once more when the instance runs.
    """
    signal.signal(signal.SIGHUP, signal.SIG_IGN)
    from carobhook import entry_process

    entry_process.main()


if __name__ == "__main__":
    main()
