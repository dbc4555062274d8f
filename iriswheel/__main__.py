"""Run the command line: `python -m iriswheel`."""

import iriswheel.cli.command

iriswheel.cli.command.main()
