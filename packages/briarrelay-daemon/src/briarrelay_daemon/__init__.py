"""briarrelayd: sockets, timers and logs round the decisions of briarrelay_core."""
