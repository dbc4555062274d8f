"""Entry point of `python -m iriswheel`: runs the command line."""

import iriswheel.cli.command

iriswheel.cli.command.main()
