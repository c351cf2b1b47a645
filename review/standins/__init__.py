"""Stand-ins for the platform's store, its workers and its clients, with the standard library only.

They follow PROTOCOL.md and DEPLOY.md of the users' pages as far as the cases beside this folder
need them.
"""
