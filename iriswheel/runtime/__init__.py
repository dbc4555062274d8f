"""Clock, timers, tasks and options of a process; nothing here knows the product's own protocol."""
