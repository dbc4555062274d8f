import iriswheel.command

iriswheel.command.main()
