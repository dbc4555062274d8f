"""Run the command line: `python -m iriswheel`."""

import iriswheel.command

iriswheel.command.main()
