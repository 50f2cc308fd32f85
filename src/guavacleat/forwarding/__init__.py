"""One caller's request on its way: attempts, deadline, checked answers, streams that move."""
