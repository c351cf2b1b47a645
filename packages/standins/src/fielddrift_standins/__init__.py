"""Play the systems outside fielddrift, each as a small process of its own.

Not shipped.  Each stand-in prints one JSON line with its address once it
listens, and has switches for its faults at `POST /faults`.
"""
