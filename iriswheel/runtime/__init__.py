"""Clock, timers, tasks and options of a process; nothing here knows the messages of the product."""
