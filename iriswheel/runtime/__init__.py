"""Clock, timers, tasks, data folder and options of a process; nothing here depends on iriswheel's messages."""
