"""Entry point of `python -m iriswheel` and of the command `iriswheel`: runs the command line."""

import sys

from iriswheel.runtime.process_signals import process_signals

SERVICES = ("core", "node")  # the subcommands that run until they are told to stop


def main() -> None:
    """Run the command line; a service takes its signals before all other imports, which take most of a start."""
    if sys.argv[1:2] and sys.argv[1] in SERVICES:
        process_signals.install()
    import iriswheel.cli.command

    iriswheel.cli.command.main()


if __name__ == "__main__":
    main()
